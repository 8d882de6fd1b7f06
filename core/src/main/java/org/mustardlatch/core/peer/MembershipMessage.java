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
   * @param incarnation a higher one overrides a lower one
   */
  record Rumor(
      HostId host, RegionId region, ZoneId zone, String address, long incarnation, State state) {}

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

  /** The whole view of the sender, in answer to a join. */
  record View(List<Rumor> rumors) implements MembershipMessage {
    /** Copies the list. */
    public View {
      rumors = List.copyOf(rumors);
    }
  }
}
