package org.mustardlatch.gateway;

/**
 * Time to the first event and longest pause between events of one stream, as sent to its caller.
 */
final class StreamTiming {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final long receivedNanos;
  private long firstEventNanos;
  private long lastEventNanos;
  private long longestPauseNanos;
  private int eventCount;
  private int eventsBeforeLongestPause;

  /** Creates the timing of a stream whose request arrived at a monotonic time in nanoseconds. */
  StreamTiming(long receivedNanos) {
    this.receivedNanos = receivedNanos;
  }

  /**
   * Records that events were sent to the caller together.
   *
   * @param count number of events
   * @param now monotonic time, nanoseconds
   */
  void recordEvents(int count, long now) {
    if (eventCount == 0) {
      firstEventNanos = now;
    } else if (now - lastEventNanos > longestPauseNanos) {
      longestPauseNanos = now - lastEventNanos;
      eventsBeforeLongestPause = eventCount;
    }
    lastEventNanos = now;
    eventCount += count;
  }

  /** Returns the number of events sent so far. */
  int eventCount() {
    return eventCount;
  }

  /**
   * Returns the time from the request to the first event, milliseconds; 0 if there was no event.
   */
  long firstEventMillis() {
    return eventCount == 0 ? 0 : (firstEventNanos - receivedNanos) / NANOS_PER_MILLI;
  }

  /** Returns the longest time between two successive events, nanoseconds. */
  long longestPauseNanos() {
    return longestPauseNanos;
  }

  /** Returns the number of events sent before the longest pause. */
  int eventsBeforeLongestPause() {
    return eventsBeforeLongestPause;
  }
}
