package org.mustardlatch.wire;

import java.time.Duration;

/** Limits and times of the transport. */
final class TransportLimits {
  /** A manifest has at most 1 MB, the largest value of the object service. */
  static final int MAX_FRAME_BYTES = 1_500_000;

  static final int LENGTH_PREFIX_BYTES = 4;

  /** Messages that wait for one peer; more drop the oldest. */
  static final int MAX_QUEUED_MESSAGES = 256;

  /** A message that waited longer is dropped; heartbeats and answers are void by then. */
  static final long QUEUE_EXPIRY_NANOS = Duration.ofSeconds(5).toNanos();

  static final int CONNECT_TIMEOUT_MILLIS = 2_000;

  static final int HANDSHAKE_TIMEOUT_MILLIS = 3_000;

  /** Time within which the first valid frame must arrive on a connection to or from a stranger. */
  static final long IDENTIFICATION_TIMEOUT_NANOS = Duration.ofSeconds(5).toNanos();

  /** An accepted connection per node of the target and as many again while links are replaced. */
  static final int MAX_ACCEPTED_CONNECTIONS = 1_024;

  static final Duration CHECK_PERIOD = Duration.ofMillis(400);

  /** A watch that runs later than this was paused, and its view of silence is not reliable. */
  static final long DELAYED_CHECK_NANOS = Duration.ofMillis(1_200).toNanos();

  /** Time without any frame after a frame was sent, before a ping asks for a sign of life. */
  static final long PING_DELAY_NANOS = Duration.ofMillis(1_300).toNanos();

  /**
   * Time without any frame after a frame was sent, before the connection counts as silent. Less
   * than three heartbeats, so that a fresh connection is tried before the host is suspected.
   */
  static final long SILENCE_TIMEOUT_NANOS = Duration.ofMillis(2_200).toNanos();

  /** Bounds the time after which a connection of a silent peer is replaced again, to 18 s. */
  static final int MAX_SILENCE_TIMEOUT_DOUBLINGS = 3;

  /** A connection without traffic gets a ping this often. */
  static final long IDLE_PING_INTERVAL_NANOS = Duration.ofSeconds(15).toNanos();

  /** A connection that carried no message for this long is closed. */
  static final long UNUSED_TIMEOUT_NANOS = Duration.ofSeconds(60).toNanos();

  static final long MIN_BACKOFF_NANOS = Duration.ofMillis(100).toNanos();
  static final long MAX_BACKOFF_NANOS = Duration.ofSeconds(5).toNanos();

  private TransportLimits() {}
}
