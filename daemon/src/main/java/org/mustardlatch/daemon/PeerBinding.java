package org.mustardlatch.daemon;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.MustardlatchException;
import org.mustardlatch.core.membership.MemberList;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.AdmissionMessage;
import org.mustardlatch.core.peer.EvidenceMessage;
import org.mustardlatch.core.peer.PeerMessage;
import org.mustardlatch.core.routing.Member;
import org.mustardlatch.core.routing.RoutingEvent;
import org.mustardlatch.core.settings.PeerSecurity;
import org.mustardlatch.core.settings.Settings;
import org.mustardlatch.core.settings.SocketAddress;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.daemon.node.ActiveManifest;
import org.mustardlatch.daemon.node.Membership;
import org.mustardlatch.daemon.peer.PeerService;
import org.mustardlatch.daemon.peer.PeerServiceListener;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;
import org.mustardlatch.wire.PeerNodeOptions;
import org.mustardlatch.wire.TlsFiles;

/**
 * Connects the peer service to the active manifest and to routing: received manifests are
 * activated, and membership changes and peer messages become routing events.
 */
final class PeerBinding implements Membership, PeerServiceListener {
  private final PeerService peers;
  private final ActiveManifest activeManifest;
  private final Consumer<RoutingEvent> routingEvents;

  /**
   * Creates the peer service without starting it.
   *
   * @param incarnation initial incarnation of this node
   * @param routingEvents receives membership changes and peer messages as routing events
   */
  PeerBinding(
      Settings settings,
      long incarnation,
      TimerService timers,
      ActiveManifest activeManifest,
      Consumer<RoutingEvent> routingEvents) {
    this.activeManifest = activeManifest;
    this.routingEvents = routingEvents;
    this.peers =
        new PeerService(
            peerNodeOptions(settings, incarnation),
            timers,
            RandomGenerator.of("L64X128MixRandom"),
            this::applyManifest);
    peers.addListener(this);
  }

  PeerService service() {
    return peers;
  }

  @Override
  public List<Member> liveMembers() {
    return peers.members().members();
  }

  @Override
  public long incarnation() {
    return peers.incarnation();
  }

  @Override
  public void membersChanged(MemberList list) {
    routingEvents.accept(new RoutingEvent.MembersChanged(list.members()));
  }

  @Override
  public void fenced(long incarnation) {
    // The router takes the new incarnation from this node's entry in the member list.
    routingEvents.accept(new RoutingEvent.MembersChanged(liveMembers()));
  }

  @Override
  public void messageReceived(HostId from, long incarnation, PeerMessage message) {
    switch (message) {
      case AdmissionMessage m ->
          routingEvents.accept(new RoutingEvent.PeerMessageReceived(from, m));
      case EvidenceMessage m -> routingEvents.accept(new RoutingEvent.PeerMessageReceived(from, m));
      default -> {
        // Ledger messages go to another listener; the peer service handles all others itself.
      }
    }
  }

  private boolean applyManifest(long revision, String text) {
    try {
      activeManifest.apply(revision, text);
      return true;
    } catch (MustardlatchException e) {
      EventLog.log(LogEvent.MANIFEST_REFUSED, String.valueOf(e.getMessage()));
      return false;
    }
  }

  private static PeerNodeOptions peerNodeOptions(Settings settings, long incarnation) {
    return new PeerNodeOptions(
        settings.host(),
        settings.region(),
        settings.zone(),
        incarnation,
        new InetSocketAddress(settings.peerAddress().ip(), settings.peerAddress().port()),
        null,
        settings.seeds().stream().map(SocketAddress::toString).toList(),
        tlsFiles(settings.peerSecurity()),
        null);
  }

  private static @Nullable TlsFiles tlsFiles(PeerSecurity security) {
    return switch (security) {
      case PeerSecurity.MutualTls t -> new TlsFiles(t.certificate(), t.key(), t.ca());
      case PeerSecurity.Plaintext p -> null;
    };
  }
}
