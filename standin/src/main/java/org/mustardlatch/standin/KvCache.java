package org.mustardlatch.standin;

import java.nio.ByteBuffer;

/** Content of a stand-in's KV cache: the digest of its prompt, then zeros. */
final class KvCache {
  private KvCache() {}

  static byte[] of(String prompt, int bytes) {
    return ByteBuffer.allocate(bytes).putInt(new TokenText(prompt).digest()).array();
  }

  static boolean belongsTo(byte[] cache, String prompt) {
    return cache.length >= Integer.BYTES
        && ByteBuffer.wrap(cache).getInt() == new TokenText(prompt).digest();
  }
}
