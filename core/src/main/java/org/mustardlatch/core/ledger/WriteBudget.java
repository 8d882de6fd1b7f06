package org.mustardlatch.core.ledger;

/** Token bucket of one shard's writes. */
final class WriteBudget {
  private final double perNano;
  private final double capacity;
  private double tokens;
  private long lastNanos;
  private boolean used;

  WriteBudget(double perSecond, int capacity) {
    this.perNano = perSecond / 1e9;
    this.capacity = capacity;
    this.tokens = capacity;
  }

  /** Returns zero when a write may be made now, else the time to wait in nanoseconds. */
  long waitNanos(long nowNanos) {
    refill(nowNanos);
    return tokens >= 1 ? 0 : (long) Math.ceil((1 - tokens) / perNano);
  }

  void take(long nowNanos) {
    refill(nowNanos);
    tokens -= 1;
  }

  private void refill(long nowNanos) {
    if (used) {
      tokens = Math.min(capacity, tokens + (nowNanos - lastNanos) * perNano);
    }
    used = true;
    lastNanos = nowNanos;
  }
}
