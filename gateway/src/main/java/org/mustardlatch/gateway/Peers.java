package org.mustardlatch.gateway;

import java.util.List;
import java.util.function.Consumer;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.PeerMessage;
import org.mustardlatch.core.routing.Member;
import org.mustardlatch.core.routing.RoutingEvent;

/** The other nodes of the fleet, with which this one admits work. */
public interface Peers {
  /**
   * Starts to join the fleet.
   *
   * @param events takes members and messages, on the thread of the data path
   */
  void start(Consumer<RoutingEvent> events);

  /** Sends a message; it may be lost. */
  void send(HostId to, PeerMessage message);

  /** Returns the live nodes, this one included. */
  List<Member> members();

  /** Tells the others that this node is about to stop. */
  void leave();

  /** Closes all connections. */
  void stop();
}
