package org.mustardlatch.core.membership;

import java.time.Duration;

/**
 * Periods and time limits, in nanoseconds, and other bounds of the membership protocol (design
 * section 4.8).
 */
final class MembershipConstants {
  static final long HEARTBEAT_PERIOD = Duration.ofSeconds(1).toNanos();

  /** Interval of heartbeats while rumors wait to be sent. */
  static final long URGENT_HEARTBEAT_PERIOD = Duration.ofMillis(500).toNanos();

  /** Silence after which an observed node is sent a heartbeat, so that it acknowledges. */
  static final long PROBE_AFTER = Duration.ofMillis(1_400).toNanos();

  /**
   * Silence after which a peer counts as silent, and an observer in its region votes against it:
   * three heartbeat periods and a fifth of one for delay.
   */
  static final long SILENT_AFTER = Duration.ofMillis(3_200).toNanos();

  /**
   * Silence after which an observer in another region votes. Longer than {@link #SILENT_AFTER} plus
   * a heartbeat period, so that a partition is recognised before individual nodes are suspected.
   */
  static final long REMOTE_SILENT_AFTER = Duration.ofSeconds(5).toNanos();

  /** Age at which the vote of another observer expires; observers repeat votes every second. */
  static final long VOTE_LIFETIME = Duration.ofMillis(2_500).toNanos();

  /** Time after which an observer suspects a node although no other observer voted against it. */
  static final long LONE_VOTE_DELAY = Duration.ofSeconds(6).toNanos();

  /** Time that a suspect has to refute the suspicion before it is declared dead. */
  static final long REFUTATION_TIMEOUT = Duration.ofSeconds(5).toNanos();

  /**
   * Time for which the silence of a whole region, or of all peers, is not treated as a failure of
   * the nodes.
   */
  static final long UNREACHABLE_GRACE_PERIOD = Duration.ofSeconds(60).toNanos();

  /** Time after which the nodes of an unreachable region are declared dead. */
  static final long UNREACHABLE_DEAD_AFTER = Duration.ofHours(1).toNanos();

  /** Gap since the last tick above which the process is considered to have been paused. */
  static final long PAUSE_THRESHOLD = Duration.ofSeconds(2).toNanos();

  /**
   * Length of a pause after which this node raises its incarnation: if it was already suspected
   * when the pause began, the others may have declared it dead by the end.
   */
  static final long FENCING_PAUSE_THRESHOLD = REFUTATION_TIMEOUT;

  /** Time for which heartbeats carry the sender's own rumor after it changed. */
  static final long SELF_RUMOR_PERIOD = Duration.ofSeconds(10).toNanos();

  /** Interval at which a node compares its view with that of other nodes. */
  static final long SYNC_PERIOD = Duration.ofSeconds(10).toNanos();

  /** Interval of join requests until the node has joined. */
  static final long JOIN_PERIOD = Duration.ofSeconds(1).toNanos();

  /** Interval of join requests after the node has joined. */
  static final long REJOIN_PERIOD = Duration.ofSeconds(30).toNanos();

  /**
   * Time after a change of the seeds in which join requests are sent to those that are not live as
   * if the node had not joined: they may belong to another part of the fleet, or start later.
   */
  static final long NEW_SEEDS_PERIOD = Duration.ofSeconds(30).toNanos();

  /** Time for which the record of a node that is dead or has left is kept. */
  static final long TOMBSTONE_LIFETIME = Duration.ofMinutes(30).toNanos();

  /** Interval at which an observer repeats its vote. */
  static final long VOTE_PERIOD = Duration.ofSeconds(1).toNanos();

  /**
   * Maximum number of queued rumors in one heartbeat or acknowledgement; 32 of about 60 bytes allow
   * a whole region to refute suspicions within 5 s.
   */
  static final int MAX_RUMORS = 32;

  /**
   * Factor of the number of times that each node sends a rumor: this many times the binary
   * logarithm of the fleet size.
   */
  static final int RETRANSMIT_FACTOR = 3;

  /** Number of addresses that receive a join request at a time until the node has joined. */
  static final int JOIN_FANOUT = 3;

  private MembershipConstants() {}
}
