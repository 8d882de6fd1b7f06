package org.mustardlatch.core.peer;

import java.util.List;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.ZoneId;

/** Messages of the membership protocol. */
public sealed interface MembershipMessage extends PeerMessage {
  /**
   * State of a node in the view of another. Of two rumors with the same incarnation and refutation
   * counter, the one with the later state in this order overrides the other.
   */
  enum State {
    ALIVE,
    SUSPECT,
    DEAD,
    LEFT
  }

  /**
   * Gossip about the state of one node.
   *
   * @param address host and port of the peer listener of the node, for example {@code
   *     10.0.0.1:7100}
   * @param incarnation grows with every start of the node and every pause after which others may
   *     have declared it dead; a higher one overrides a lower one
   * @param refutationCounter grows with every refutation within an incarnation; a higher one
   *     overrides a lower one of the same incarnation
   */
  record Rumor(
      HostId host,
      RegionId region,
      ZoneId zone,
      String address,
      long incarnation,
      long refutationCounter,
      State state) {}

  /**
   * Shows that the sender is alive, and carries rumors.
   *
   * @param sequence sequence number; counts the heartbeats of the sender to all receivers
   * @param configRevision active manifest revision of the sender; 0 for none
   */
  record Heartbeat(long sequence, long configRevision, List<Rumor> rumors)
      implements MembershipMessage {
    /** Copies the list. */
    public Heartbeat {
      rumors = List.copyOf(rumors);
    }
  }

  /**
   * Acknowledges a heartbeat.
   *
   * @param sequence sequence number of the acknowledged heartbeat
   * @param configRevision active manifest revision of the sender; 0 for none
   */
  record HeartbeatAck(long sequence, long configRevision, List<Rumor> rumors)
      implements MembershipMessage {
    /** Copies the list. */
    public HeartbeatAck {
      rumors = List.copyOf(rumors);
    }
  }

  /** Requests the view of the receiver; sent by a node that joins, and periodically afterwards. */
  record Join(Rumor self) implements MembershipMessage {}

  /**
   * Carries rumors of the view of the sender, in response to a join, a different digest or another
   * view.
   *
   * @param replyRequested whether the receiver must reply with the rumors that are newer in its
   *     view
   */
  record View(List<Rumor> rumors, boolean replyRequested) implements MembershipMessage {
    /** Copies the list. */
    public View {
      rumors = List.copyOf(rumors);
    }
  }

  /**
   * Votes that a host has failed. Sent by an observer that missed its heartbeats to the other
   * observers.
   *
   * @param incarnation incarnation of the silent host
   * @param refutationCounter refutation counter of the host; a vote with an outdated counter is
   *     ignored
   */
  record Suspicion(HostId host, long incarnation, long refutationCounter)
      implements MembershipMessage {}

  /**
   * Compares views; the receiver responds with its view if its digest differs.
   *
   * @param digest 64-bit digest of the sender's view
   */
  record Sync(long digest) implements MembershipMessage {}
}
