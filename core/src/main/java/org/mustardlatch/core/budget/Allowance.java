package org.mustardlatch.core.budget;

/**
 * What a workspace may spend over all nodes of the fleet together: a rate and a burst.
 *
 * @param unit what is counted
 * @param perSecond units per second, greater than 0
 * @param burst units that may be spent at once in addition, at least 0
 * @param defaultTokens cost of a request that does not state its tokens, if tokens are counted; at
 *     least 0
 */
public record Allowance(Unit unit, double perSecond, double burst, int defaultTokens) {
  /** Largest rate or burst that is accepted; a larger one is a mistake. */
  public static final double MAX_UNITS = 1e12;

  /** What an allowance counts. */
  public enum Unit {
    REQUESTS,
    TOKENS
  }

  /**
   * Checks the values.
   *
   * @throws IllegalArgumentException if a value is out of range
   */
  public Allowance {
    if (!(perSecond > 0 && perSecond <= MAX_UNITS)) {
      throw new IllegalArgumentException("rate is " + perSecond + " units per second");
    }
    if (!(burst >= 0 && burst <= MAX_UNITS)) {
      throw new IllegalArgumentException("burst is " + burst + " units");
    }
    if (defaultTokens < 0) {
      throw new IllegalArgumentException("default cost is " + defaultTokens + " tokens");
    }
  }

  /**
   * Returns the units that a request costs.
   *
   * @param statedTokens prompt and maximum output of the request, tokens; 0 if not stated
   */
  public double cost(long statedTokens) {
    return switch (unit) {
      case REQUESTS -> 1;
      case TOKENS -> statedTokens > 0 ? statedTokens : defaultTokens;
    };
  }
}
