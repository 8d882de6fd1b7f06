package org.mustardlatch.core.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The prompt blocks that an engine has probably cached, derived from the requests that were sent to
 * it. Engines publish their cache events late and with gaps, so the index does not use them.
 */
final class PrefixIndex {
  /** Tokens per block. */
  static final int BLOCK_TOKENS = 256;

  private final int capacity;
  private final LinkedHashMap<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

  /**
   * Creates an empty index.
   *
   * @param capacity maximum number of blocks; the least recently used ones are dropped
   */
  PrefixIndex(int capacity) {
    this.capacity = capacity;
  }

  /** Returns the number of leading prompt tokens that the engine has probably cached. */
  int cachedTokens(List<Long> prefix, int promptTokens) {
    int hits = 0;
    for (Long block : prefix) {
      if (!blocks.containsKey(block)) {
        break;
      }
      hits++;
    }
    // The last token is always computed, because it yields the first output token.
    return Math.max(0, Math.min(hits * BLOCK_TOKENS, promptTokens - 1));
  }

  /** Adds the blocks of a prompt that was sent to the engine. */
  void add(List<Long> prefix) {
    for (Long block : prefix) {
      blocks.put(block, Boolean.TRUE);
    }
    var eldest = blocks.entrySet().iterator();
    while (blocks.size() > capacity) {
      Map.Entry<Long, Boolean> unused = eldest.next();
      eldest.remove();
    }
  }

  /** Removes all blocks, as the engine lost its cache. */
  void clear() {
    blocks.clear();
  }
}
