package org.mustardlatch.gateway.node;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.membership.MemberList;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.AdmissionMessage;
import org.mustardlatch.core.peer.BudgetMessage;
import org.mustardlatch.core.peer.EvidenceMessage;
import org.mustardlatch.core.peer.PeerMessage;
import org.mustardlatch.core.peer.StreamMessage;
import org.mustardlatch.core.routing.Member;
import org.mustardlatch.core.routing.RoutingEvent;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.gateway.GatewaySettings;
import org.mustardlatch.gateway.Peers;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;
import org.mustardlatch.wire.PeerNode;
import org.mustardlatch.wire.PeerNodeListener;
import org.mustardlatch.wire.PeerNodeOptions;

/**
 * Connects a node with its peers over the peer protocol of the fleet, and passes the events of the
 * peer node to the event loop.
 */
final class NetworkPeers implements Peers, PeerNodeListener {
  private final PeerNode node;
  private final EventLoop loop;
  private Consumer<RoutingEvent> events = e -> {};
  private @Nullable ConfigurationReceiver configurations;

  /**
   * Creates the connection to the peers, which does nothing before {@link #start}.
   *
   * @param bind address on which this node listens for its peers
   * @param incarnation greater than those of earlier processes of this host
   */
  NetworkPeers(
      GatewaySettings settings,
      InetSocketAddress bind,
      long incarnation,
      TimerService timers,
      RandomGenerator random,
      EventLoopGroup group,
      EventLoop loop) {
    this.loop = loop;
    this.node =
        new PeerNode(
            new PeerNodeOptions(
                settings.host(),
                settings.region(),
                settings.zone(),
                incarnation,
                bind,
                null,
                settings.peerSeeds(),
                null,
                group,
                // The platform provides no certificates; its network is closed to others.
                true),
            timers,
            random,
            this);
  }

  @Override
  public void start(Consumer<RoutingEvent> receiver) {
    events = receiver;
    EventLog.log(LogEvent.PEERS_LISTENING, node.start(), node.members().members().size());
  }

  @Override
  public void seedsChanged(List<String> addresses) {
    node.seedsChanged(addresses);
  }

  @Override
  public void send(HostId to, PeerMessage message) {
    node.send(to, message);
  }

  @Override
  public void onConfiguration(ConfigurationReceiver receiver) {
    configurations = receiver;
  }

  @Override
  public void shareConfiguration(long version, String source) {
    node.manifestStored(version, source);
  }

  @Override
  public List<Member> members() {
    return node.members().members();
  }

  @Override
  public void leave() {
    node.leave();
  }

  @Override
  public void stop() {
    node.stop();
  }

  private void post(RoutingEvent event) {
    loop.execute(() -> events.accept(event));
  }

  @Override
  public void membersChanged(MemberList list) {
    EventLog.log(
        LogEvent.MEMBERS_CHANGED,
        list.members().stream().map(m -> m.host().value()).sorted().toList(),
        list.unreachableRegions());
    post(new RoutingEvent.MembersChanged(list.members()));
  }

  @Override
  public void nodeSuspected(HostId host) {
    EventLog.log(LogEvent.NODE_SUSPECTED, host);
  }

  @Override
  public void fenced(long incarnation, long pausedNanos) {
    EventLog.log(LogEvent.NODE_FENCED, pausedNanos / 1_000_000, incarnation);
    post(new RoutingEvent.MembersChanged(members()));
  }

  @Override
  public boolean applyManifest(long revision, String text) {
    ConfigurationReceiver receiver = configurations;
    if (receiver == null) {
      return false;
    }
    if (!loop.inEventLoop()) {
      // While the node starts, its tasks may run on the thread that starts it.
      loop.execute(() -> applyOnLoop(receiver, revision, text));
      return true;
    }
    return applyOnLoop(receiver, revision, text);
  }

  private static boolean applyOnLoop(ConfigurationReceiver receiver, long revision, String text) {
    boolean usable = receiver.configurationShared(revision, text);
    if (!usable) {
      EventLog.log(LogEvent.MANIFEST_UNUSABLE, revision);
    }
    return usable;
  }

  @Override
  public void manifestAccepted(long revision) {}

  @Override
  public void manifestWatchChanged(boolean watch) {
    ConfigurationReceiver receiver = configurations;
    if (receiver != null) {
      loop.execute(() -> receiver.watchChanged(watch));
    }
  }

  @Override
  public void configurationReady(long revision) {}

  @Override
  public void messageReceived(HostId from, long incarnation, PeerMessage message) {
    switch (message) {
      case AdmissionMessage m -> post(new RoutingEvent.PeerMessageReceived(from, m));
      case EvidenceMessage m -> post(new RoutingEvent.PeerMessageReceived(from, m));
      case BudgetMessage m -> post(new RoutingEvent.PeerMessageReceived(from, m));
      case StreamMessage m -> post(new RoutingEvent.PeerMessageReceived(from, m));
      default -> {
        // The peer node itself handles all other messages.
      }
    }
  }

  @Override
  public void unexpectedError(Throwable error) {
    EventLog.log(LogEvent.UNEXPECTED_ERROR, "peers", error);
  }
}
