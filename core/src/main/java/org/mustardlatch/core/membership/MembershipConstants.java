package org.mustardlatch.core.membership;

import java.time.Duration;

/** Times and bounds of the failure detector, design section 4.8. */
final class MembershipConstants {
  static final long HEARTBEAT_PERIOD = Duration.ofSeconds(1).toNanos();

  /** Heartbeats go out this often while rumors wait. */
  static final long URGENT_HEARTBEAT_PERIOD = Duration.ofMillis(500).toNanos();

  /** A node that was silent for this long is asked for a sign of life. */
  static final long PROBE_AFTER = Duration.ofMillis(1_400).toNanos();

  /** Three heartbeats and a fifth for delay. */
  static final long SILENT_AFTER = Duration.ofMillis(3_200).toNanos();

  /**
   * Silence after which an observer in another region votes. Longer than SILENT_AFTER plus a
   * heartbeat, so that a partition is recognised as such before single nodes are suspected.
   */
  static final long REMOTE_SILENT_AFTER = Duration.ofSeconds(5).toNanos();

  /** Age at which the vote of another observer is void; observers repeat votes every second. */
  static final long VOTE_LIFETIME = Duration.ofMillis(2_500).toNanos();

  /** An observer that nobody agrees with suspects alone after this long. */
  static final long LONE_VOTE_DELAY = Duration.ofSeconds(6).toNanos();

  static final long REFUTATION_TIMEOUT = Duration.ofSeconds(5).toNanos();

  /** Time for which a silent region, or the silence of all peers, is not taken for death. */
  static final long UNREACHABLE_GRACE_PERIOD = Duration.ofSeconds(60).toNanos();

  /** Nodes of a region that was lost for this long are declared dead. */
  static final long UNREACHABLE_PURGE_DELAY = Duration.ofHours(1).toNanos();

  /** A tick that is this late means that the process was paused. */
  static final long PAUSE_THRESHOLD = Duration.ofSeconds(2).toNanos();

  /** A node that was already suspected when a pause of this length began may be dead by its end. */
  static final long FENCING_PAUSE_THRESHOLD = REFUTATION_TIMEOUT;

  /** How long heartbeats carry the sender's own rumor after it changed. */
  static final long SELF_RUMOR_PERIOD = Duration.ofSeconds(10).toNanos();

  static final long SYNC_PERIOD = Duration.ofSeconds(10).toNanos();
  static final long JOIN_PERIOD = Duration.ofSeconds(1).toNanos();
  static final long REJOIN_PERIOD = Duration.ofSeconds(30).toNanos();
  static final long TOMBSTONE_LIFETIME = Duration.ofMinutes(30).toNanos();
  static final long VOTE_PERIOD = Duration.ofSeconds(1).toNanos();

  /** Rumors in one heartbeat; 32 of about 60 bytes let a whole region refute within 5 s. */
  static final int MAX_RUMORS = 32;

  /** Each rumor is sent this many times the binary logarithm of the fleet's size. */
  static final int RETRANSMIT_FACTOR = 3;

  static final int JOIN_FANOUT = 3;

  private MembershipConstants() {}
}
