package org.mustardlatch.gateway;

/** When the events of one stream went to its caller, as far as its latency targets need it. */
final class StreamTimes {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final long receivedNanos;
  private long firstNanos;
  private long lastNanos;
  private long longestPauseNanos;
  private int events;
  private int longestPauseAfter;

  /** Creates the times of a stream whose request was received at {@code receivedNanos}. */
  StreamTimes(long receivedNanos) {
    this.receivedNanos = receivedNanos;
  }

  /** Takes note that events were passed on together; {@code now} is monotonic nanoseconds. */
  void passed(int count, long now) {
    if (events == 0) {
      firstNanos = now;
    } else if (now - lastNanos > longestPauseNanos) {
      longestPauseNanos = now - lastNanos;
      longestPauseAfter = events;
    }
    lastNanos = now;
    events += count;
  }

  int events() {
    return events;
  }

  /** Returns the time from the request to its first event, milliseconds; 0 before any. */
  long firstMillis() {
    return events == 0 ? 0 : (firstNanos - receivedNanos) / NANOS_PER_MILLI;
  }

  /** Returns the longest time between two events, nanoseconds. */
  long longestPauseNanos() {
    return longestPauseNanos;
  }

  /** Returns how many events had been passed on before the longest pause. */
  int longestPauseAfter() {
    return longestPauseAfter;
  }
}
