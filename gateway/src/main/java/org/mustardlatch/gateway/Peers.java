package org.mustardlatch.gateway;

import java.util.List;
import java.util.function.Consumer;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.PeerMessage;
import org.mustardlatch.core.routing.Member;
import org.mustardlatch.core.routing.RoutingEvent;

/** The connection of this node to the other nodes of the fleet. */
public interface Peers {
  /**
   * Starts to join the fleet.
   *
   * @param events receives changes of the members and messages of peers, on the event loop of the
   *     data path or, before this method returns, on the calling thread
   */
  void start(Consumer<RoutingEvent> events);

  /** Replaces the addresses of peers to contact for joining the fleet. */
  void seedsChanged(List<String> addresses);

  /** Sends a message to a peer. Delivery is not guaranteed. */
  void send(HostId to, PeerMessage message);

  /** Returns the live nodes of the fleet, including this one. */
  List<Member> members();

  /** Notifies the other nodes that this node is about to stop. */
  void leave();

  /** Closes all connections to peers. */
  void stop();
}
