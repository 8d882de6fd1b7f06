package org.mustardlatch.gateway;

import java.util.List;
import java.util.function.Consumer;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.PeerMessage;
import org.mustardlatch.core.routing.Member;
import org.mustardlatch.core.routing.RoutingEvent;

/** A node on its own, which admits to all cells of its region. */
public final class NoPeers implements Peers {
  private final Member self;

  /** Creates the peers of a node that has none. */
  public NoPeers(GatewaySettings settings) {
    this.self = new Member(settings.host(), settings.region(), settings.zone(), 0);
  }

  @Override
  public void start(Consumer<RoutingEvent> events) {
    events.accept(new RoutingEvent.MembersChanged(members()));
  }

  @Override
  public void send(HostId to, PeerMessage message) {
    throw new IllegalStateException("there is no peer " + to);
  }

  @Override
  public List<Member> members() {
    return List.of(self);
  }

  @Override
  public void leave() {}

  @Override
  public void stop() {}
}
