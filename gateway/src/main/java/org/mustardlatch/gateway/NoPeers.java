package org.mustardlatch.gateway;

import java.util.List;
import java.util.function.Consumer;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.PeerMessage;
import org.mustardlatch.core.routing.Member;
import org.mustardlatch.core.routing.RoutingEvent;

/**
 * The {@link Peers} of a standalone node, which is the admitting node of all cells of its region. A
 * cell is the engines of one model in one region; its admitting node is the one node that admits
 * work to it.
 */
public final class NoPeers implements Peers {
  private final Member self;

  /** Creates the peers of a standalone node with these settings. */
  public NoPeers(GatewaySettings settings) {
    this.self = new Member(settings.host(), settings.region(), settings.zone(), 0);
  }

  @Override
  public void start(Consumer<RoutingEvent> events) {
    events.accept(new RoutingEvent.MembersChanged(members()));
  }

  @Override
  public void seedsChanged(List<String> addresses) {}

  @Override
  public void send(HostId to, PeerMessage message) {
    throw new IllegalStateException("a standalone node has no peer " + to);
  }

  @Override
  public void onConfiguration(ConfigurationReceiver receiver) {}

  @Override
  public void shareConfiguration(long version, String source) {}

  @Override
  public List<Member> members() {
    return List.of(self);
  }

  @Override
  public void leave() {}

  @Override
  public void stop() {}
}
