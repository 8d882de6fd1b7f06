package org.mustardlatch.replay;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The prompt blocks that an engine has cached; drops the block that was used longest ago. */
final class PrefixCache {
  /** Prompt tokens in one block. */
  static final int BLOCK_TOKENS = 256;

  private final int maxBlocks;
  private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

  PrefixCache(int maxBlocks) {
    this.maxBlocks = maxBlocks;
  }

  /** Returns a cache as large as this much KV memory, pieces of 1,000 tokens. */
  static PrefixCache within(int memoryPieces) {
    return new PrefixCache(memoryPieces * 1000 / BLOCK_TOKENS);
  }

  /** Returns how many leading tokens of a prompt with these blocks are cached. */
  int cachedTokens(List<Long> prompt) {
    int hits = 0;
    while (hits < prompt.size() && blocks.get(prompt.get(hits)) != null) {
      hits++;
    }
    return hits * BLOCK_TOKENS;
  }

  void add(List<Long> prompt) {
    prompt.forEach(b -> blocks.put(b, true));
    while (blocks.size() > maxBlocks) {
      blocks.remove(blocks.keySet().iterator().next());
    }
  }

  void clear() {
    blocks.clear();
  }
}
