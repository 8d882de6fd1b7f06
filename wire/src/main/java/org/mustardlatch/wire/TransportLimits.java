package org.mustardlatch.wire;

import java.time.Duration;

/** Limits and timeouts of the transport. */
final class TransportLimits {
  /** Fits a manifest, which has at most 1 MB, the largest value of the object service. */
  static final int MAX_FRAME_BYTES = 1_500_000;

  static final int LENGTH_PREFIX_BYTES = 4;

  /** Maximum number of messages queued for one peer; a further message drops the oldest one. */
  static final int MAX_QUEUED_MESSAGES = 256;

  /** Messages queued for longer are dropped: heartbeats and responses are useless by then. */
  static final long QUEUE_EXPIRY_NANOS = Duration.ofSeconds(5).toNanos();

  static final int CONNECT_TIMEOUT_MILLIS = 2_000;

  static final int HANDSHAKE_TIMEOUT_MILLIS = 3_000;

  /** Time within which the first valid frame must identify a peer that is still unidentified. */
  static final long IDENTIFICATION_TIMEOUT_NANOS = Duration.ofSeconds(5).toNanos();

  /**
   * Maximum number of accepted connections. Allows one per node of the largest intended fleet, and
   * as many again while connections are replaced.
   */
  static final int MAX_ACCEPTED_CONNECTIONS = 1_024;

  /** Period of the checks for silent, unused and unidentified connections. */
  static final Duration CHECK_PERIOD = Duration.ofMillis(400);

  /**
   * Time between two connection checks that indicates a pause of the process. Frames may have
   * arrived unread during the pause, so silence of a peer is not reliable then.
   */
  static final long DELAYED_CHECK_NANOS = Duration.ofMillis(1_200).toNanos();

  /** Time without an inbound frame after a frame was sent, before a ping is sent. */
  static final long PING_DELAY_NANOS = Duration.ofMillis(1_300).toNanos();

  /**
   * Time without an inbound frame after a frame was sent, before the connection counts as silent.
   * Less than three heartbeat periods, so that a new connection is tried before the host becomes
   * suspect.
   */
  static final long SILENCE_TIMEOUT_NANOS = Duration.ofMillis(2_200).toNanos();

  /** Limits the silence timeout of a peer whose connections are replaced repeatedly, to 18 s. */
  static final int MAX_SILENCE_TIMEOUT_DOUBLINGS = 3;

  /** Interval of pings on a connection without traffic. */
  static final long IDLE_PING_INTERVAL_NANOS = Duration.ofSeconds(15).toNanos();

  /** A connection that carries no message for this time is closed; pings do not count. */
  static final long UNUSED_TIMEOUT_NANOS = Duration.ofSeconds(60).toNanos();

  static final long MIN_BACKOFF_NANOS = Duration.ofMillis(100).toNanos();
  static final long MAX_BACKOFF_NANOS = Duration.ofSeconds(5).toNanos();

  private TransportLimits() {}
}
