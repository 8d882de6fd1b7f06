package org.mustardlatch.core.budget;

/**
 * Token bucket that grants the units of whole requests. A request that costs more than the bucket
 * holds is granted when the bucket is full and leaves a debt.
 */
public final class AllowanceBucket {
  // Callers do not respect a longer time.
  private static final long MAX_TURN_NANOS = 4_000_000_000L;

  private double capacity;
  private double perSecond;
  private double units;
  private long refilledNanos;

  /** Time of the turn given last to a request that got no units. */
  private long lastTurnNanos;

  AllowanceBucket(double units, double capacity, double perSecond, long now) {
    this.units = units;
    this.capacity = capacity;
    this.perSecond = perSecond;
    this.refilledNanos = now;
    this.lastTurnNanos = now;
  }

  /** Changes the terms; the earlier ones hold for the time before. */
  void setTerms(double newCapacity, double newPerSecond, long now) {
    refill(now);
    capacity = newCapacity;
    perSecond = newPerSecond;
    units = Math.min(units, capacity);
  }

  /**
   * Grants the units and returns true, or returns false.
   *
   * @param now monotonic time, nanoseconds
   */
  public boolean tryTake(double requested, long now) {
    refill(now);
    if (units < Math.min(requested, capacity)) {
      return false;
    }
    units -= requested;
    return true;
  }

  /** Takes back units that were granted and not spent. */
  void putBack(double returned, long now) {
    refill(now);
    units = Math.min(capacity, units + returned);
  }

  /**
   * Returns the time after which a request that got no units may come back, nanoseconds. Each
   * request gets a turn of its own, so that they come back at the rate of the bucket.
   */
  long nanosUntilTurn(double requested, long now) {
    refill(now);
    if (perSecond <= 0) {
      return MAX_TURN_NANOS;
    }
    long missing = nanos(Math.min(requested, capacity) - units);
    long turn = Math.max(lastTurnNanos, now) + nanos(requested);
    lastTurnNanos = Math.min(turn, now + MAX_TURN_NANOS);
    return Math.clamp(Math.max(missing, lastTurnNanos - now), 1, MAX_TURN_NANOS);
  }

  private long nanos(double amount) {
    return (long) Math.min(MAX_TURN_NANOS, Math.max(0, amount) / perSecond * 1e9);
  }

  private void refill(long now) {
    units = Math.min(capacity, units + perSecond * Math.max(0, now - refilledNanos) / 1e9);
    refilledNanos = Math.max(now, refilledNanos);
  }
}
