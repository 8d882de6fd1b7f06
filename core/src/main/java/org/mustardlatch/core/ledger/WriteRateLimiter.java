package org.mustardlatch.core.ledger;

/** Limits the rate of writes to one shard with a token bucket. */
final class WriteRateLimiter {
  private final double tokensPerNano;
  private final double capacity;
  private double tokens;
  private long lastRefillNanos;
  private boolean refilledBefore;

  WriteRateLimiter(double tokensPerSecond, int capacity) {
    this.tokensPerNano = tokensPerSecond / 1e9;
    this.capacity = capacity;
    this.tokens = capacity;
  }

  /** Returns zero if a write is allowed now, else the time to wait in nanoseconds. */
  long waitNanos(long nowNanos) {
    refill(nowNanos);
    return tokens >= 1 ? 0 : (long) Math.ceil((1 - tokens) / tokensPerNano);
  }

  void acquire(long nowNanos) {
    refill(nowNanos);
    tokens -= 1;
  }

  private void refill(long nowNanos) {
    if (refilledBefore) {
      tokens = Math.min(capacity, tokens + (nowNanos - lastRefillNanos) * tokensPerNano);
    }
    refilledBefore = true;
    lastRefillNanos = nowNanos;
  }
}
