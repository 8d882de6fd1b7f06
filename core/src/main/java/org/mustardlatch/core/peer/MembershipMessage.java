package org.mustardlatch.core.peer;

import java.util.List;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.ZoneId;

/** Messages of the failure detector. */
public sealed interface MembershipMessage extends PeerMessage {
  /** What a node believes about another. */
  enum State {
    ALIVE,
    SUSPECT,
    DEAD,
    LEFT
  }

  /**
   * One belief about one node.
   *
   * @param address host and port of the node's peer listener, for example {@code 10.0.0.1:7100}
   * @param incarnation grows with every start of the node and every pause after which others may
   *     have declared it dead; a higher one overrides a lower one
   * @param counter grows with every refutation within an incarnation; a higher one overrides a
   *     lower one of the same incarnation
   */
  record Rumor(
      HostId host,
      RegionId region,
      ZoneId zone,
      String address,
      long incarnation,
      long counter,
      State state) {}

  /**
   * Sign of life with news.
   *
   * @param sequence counts the sender's heartbeats to this receiver
   * @param configRevision manifest revision that the sender has in force; 0 for none
   */
  record Heartbeat(long sequence, long configRevision, List<Rumor> rumors)
      implements MembershipMessage {
    /** Copies the list. */
    public Heartbeat {
      rumors = List.copyOf(rumors);
    }
  }

  /** Answer to a heartbeat. */
  record HeartbeatAck(long sequence, long configRevision, List<Rumor> rumors)
      implements MembershipMessage {
    /** Copies the list. */
    public HeartbeatAck {
      rumors = List.copyOf(rumors);
    }
  }

  /** Asks for all that the receiver knows; sent by a node that joins. */
  record Join(Rumor self) implements MembershipMessage {}

  /**
   * The view of the sender, in answer to a join or to a digest that differs.
   *
   * @param replyRequested whether the receiver must answer with the rumors that are newer in its view
   */
  record View(List<Rumor> rumors, boolean replyRequested) implements MembershipMessage {
    /** Copies the list. */
    public View {
      rumors = List.copyOf(rumors);
    }
  }

  /**
   * The sender observes the host and has missed its heartbeats. Sent to the other observers.
   *
   * @param incarnation incarnation of the host that is silent
   * @param counter its refutation counter; a suspicion of an earlier one is void
   */
  record Suspicion(HostId host, long incarnation, long counter) implements MembershipMessage {}

  /**
   * Compares views; the receiver answers with its view when its digest differs.
   *
   * @param digest 64-bit digest of the sender's view
   */
  record Sync(long digest) implements MembershipMessage {}
}
