package org.mustardlatch.replay;

/** KV memory of a fake engine in pieces of 1,000 tokens. */
final class EngineMemory {
  private int free;

  EngineMemory(int pieces) {
    free = pieces;
  }

  /** Takes pieces; returns false and takes none when there are too few. */
  boolean take(int pieces) {
    if (pieces > free) {
      return false;
    }
    free -= pieces;
    return true;
  }

  void give(int pieces) {
    free += pieces;
  }

  int free() {
    return free;
  }
}
