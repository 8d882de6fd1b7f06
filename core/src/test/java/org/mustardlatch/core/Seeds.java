package org.mustardlatch.core;

import java.util.stream.IntStream;

/** Seeds of a schedule test: those of CI, or the one that a system property names. */
public final class Seeds {
  private Seeds() {}

  /**
   * Returns the seeds to run.
   *
   * @param suite {@code -DSUITE.seed=N} runs seed N only
   * @param count seeds of CI, from 1
   */
  public static int[] of(String suite, int count) {
    Integer one = Integer.getInteger(suite + ".seed");
    return one == null ? IntStream.rangeClosed(1, count).toArray() : new int[] {one};
  }
}
