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

  /** Sets the receiver of the configurations that other nodes share; called before the start. */
  void onConfiguration(ConfigurationReceiver receiver);

  /**
   * Shares a configuration that is in force on this node with the other nodes.
   *
   * @param source the stored object, as {@link ConfigurationReceiver} gets it on the other nodes
   */
  void shareConfiguration(long version, String source);

  /** Returns the live nodes of the fleet, including this one. */
  List<Member> members();

  /** Notifies the other nodes that this node is about to stop. */
  void leave();

  /** Closes all connections to peers. */
  void stop();

  /** Receives the configurations that other nodes share, on the event loop of the data path. */
  interface ConfigurationReceiver {
    /**
     * Puts a configuration into force, unless it or a newer one is.
     *
     * @return false if it is not usable
     */
    boolean configurationShared(long version, String source);

    /**
     * Called when this node becomes, or is no longer, one of those of its region that wait for new
     * configurations at the store, however large they are.
     */
    void watchChanged(boolean watch);
  }
}
