package org.mustardlatch.daemon.peer;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.mustardlatch.core.budget.BudgetTerms;
import org.mustardlatch.core.membership.MemberList;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.peer.EvidenceMessage;
import org.mustardlatch.core.peer.PeerMessage;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;
import org.mustardlatch.wire.PeerNode;
import org.mustardlatch.wire.PeerNodeListener;
import org.mustardlatch.wire.PeerNodeOptions;

/**
 * Communication of this node with its peers: membership, distribution of the manifest, shared
 * budgets, and messages between nodes. Add listeners before calling {@link #start}.
 */
public final class PeerService {
  private final PeerNodeOptions options;
  private final ManifestApplier manifestApplier;
  private final PeerNode node;
  private final List<PeerServiceListener> listeners = new CopyOnWriteArrayList<>();

  /**
   * Creates the service, which is idle until {@link #start} is called.
   *
   * @param timers clock and scheduler of the periodic tasks
   * @param random source for choosing seeds and gossip partners
   * @param manifestApplier validates and activates manifests
   */
  public PeerService(
      PeerNodeOptions options,
      TimerService timers,
      RandomGenerator random,
      ManifestApplier manifestApplier) {
    this.options = options;
    this.manifestApplier = manifestApplier;
    this.node = new PeerNode(options, timers, random, new PeerNodeEvents());
  }

  /** Adds a listener that is notified of all later events. */
  public void addListener(PeerServiceListener listener) {
    listeners.add(listener);
  }

  /**
   * Starts listening for peers and joining the fleet.
   *
   * @return the address that was bound
   * @throws org.mustardlatch.core.error.MustardlatchException if the address can't be bound
   */
  public InetSocketAddress start() {
    if (options.tls() == null) {
      EventLog.log(LogEvent.PEERS_PLAIN, options.bind());
    }
    InetSocketAddress bound = node.start();
    EventLog.log(LogEvent.PEERS_LISTENING, bound, options.seeds().size());
    return bound;
  }

  /** Announces that this node is about to stop. Call it after the last stream has finished. */
  public void leave() {
    node.leave();
  }

  /** Stops listening and closes all connections. */
  public void stop() {
    node.stop();
  }

  /** Sends a message to a node. A message to this node is delivered to its own listeners. */
  public void send(HostId to, PeerMessage message) {
    node.send(to, message);
  }

  /** Sends crash evidence to all other nodes. */
  public void broadcast(EvidenceMessage message) {
    node.broadcast(message);
  }

  /** Passes in the peer addresses listed in the object service. */
  public void nodesListed(List<String> addresses) {
    node.nodesListed(addresses);
  }

  /**
   * Passes in a manifest that was read from the object service, at startup or through a watch.
   *
   * @param revision revision number; 0, with an empty text, if the object service has no manifest
   */
  public void manifestStored(long revision, String text) {
    node.manifestStored(revision, text);
  }

  /**
   * Passes in a manifest that this node has stored in the object service for an operator. {@link
   * PeerServiceListener#manifestAccepted} is called once enough nodes have applied the revision
   * that it can't be lost.
   */
  public void manifestPublished(long revision, String text) {
    node.manifestPublished(revision, text);
  }

  /**
   * Sets the rate and lease time of each shared budget of this region. The keys are budget names
   * such as {@code workspace/NAME}. All nodes of the region must use the same terms.
   */
  public void configureBudgets(Map<String, BudgetTerms> terms) {
    node.configureBudgets(terms);
  }

  /**
   * Spends units of a shared budget.
   *
   * @param units number of units, greater than 0
   * @param result called once, within about 350 ms, with true if the units were granted; must not
   *     block
   */
  public void spend(String budget, double units, Consumer<Boolean> result) {
    node.spend(budget, units, result);
  }

  /** Returns the current incarnation of this node. */
  public long incarnation() {
    return node.incarnation();
  }

  /** Returns the current member list. */
  public MemberList members() {
    return node.members();
  }

  /** Returns the active manifest revision; 0 if there is none. */
  public long activeRevision() {
    return node.activeRevision();
  }

  /** Returns whether the active manifest is recent enough to serve requests. */
  public boolean configurationReady() {
    return node.configurationReady();
  }

  /** Returns the transport counters, counted since the start, by name. */
  public Map<String, Long> counters() {
    return node.counters().snapshot();
  }

  /** Returns the internal state for a diagnostic dump. Must not be called from a listener. */
  public Map<String, Object> dump() {
    return new LinkedHashMap<>(node.dump());
  }

  private void notifyListeners(Consumer<PeerServiceListener> call) {
    for (PeerServiceListener l : listeners) {
      try {
        call.accept(l);
      } catch (RuntimeException e) {
        EventLog.log(LogEvent.UNEXPECTED_ERROR, "peer listener", e);
      }
    }
  }

  /** Logs the events of the peer node and forwards them to the listeners. */
  private final class PeerNodeEvents implements PeerNodeListener {
    private Set<HostId> previousHosts = new HashSet<>();
    private Set<RegionId> loggedUnreachableRegions = Set.of();

    @Override
    public void membersChanged(MemberList list) {
      Set<HostId> currentHosts = new HashSet<>();
      list.members().forEach(m -> currentHosts.add(m.host()));
      Set<HostId> joined = new HashSet<>(currentHosts);
      joined.removeAll(previousHosts);
      previousHosts.removeAll(currentHosts);
      previousHosts.remove(options.host());
      joined.forEach(h -> EventLog.log(LogEvent.NODE_JOINED, h, currentHosts.size()));
      previousHosts.forEach(h -> EventLog.log(LogEvent.NODE_GONE, h, currentHosts.size()));
      previousHosts = currentHosts;
      for (RegionId r : list.unreachableRegions()) {
        if (!loggedUnreachableRegions.contains(r)) {
          EventLog.log(LogEvent.REGION_UNREACHABLE, r);
        }
      }
      for (RegionId r : loggedUnreachableRegions) {
        if (!list.unreachableRegions().contains(r)) {
          EventLog.log(LogEvent.REGION_REACHABLE, r);
        }
      }
      loggedUnreachableRegions = list.unreachableRegions();
      notifyListeners(l -> l.membersChanged(list));
    }

    @Override
    public void nodeSuspected(HostId host) {
      EventLog.log(LogEvent.NODE_SUSPECTED, host);
    }

    @Override
    public void fenced(long incarnation, long pausedNanos) {
      EventLog.log(LogEvent.NODE_FENCED, pausedNanos / 1_000_000, incarnation);
      notifyListeners(l -> l.fenced(incarnation));
    }

    @Override
    public boolean applyManifest(long revision, String text) {
      boolean applied = manifestApplier.apply(revision, text);
      if (applied) {
        notifyListeners(l -> l.manifestApplied(revision, text));
      } else {
        EventLog.log(LogEvent.MANIFEST_UNUSABLE, revision);
      }
      return applied;
    }

    @Override
    public void manifestAccepted(long revision) {
      EventLog.log(LogEvent.MANIFEST_ACCEPTED, revision);
      notifyListeners(l -> l.manifestAccepted(revision));
    }

    @Override
    public void manifestWatchChanged(boolean watch) {
      notifyListeners(l -> l.watchManifest(watch));
    }

    @Override
    public void configurationReady(long revision) {
      EventLog.log(LogEvent.CONFIGURATION_READY, revision);
      notifyListeners(l -> l.configurationReady(revision));
    }

    @Override
    public void messageReceived(HostId from, long incarnation, PeerMessage message) {
      notifyListeners(l -> l.messageReceived(from, incarnation, message));
    }

    @Override
    public void unexpectedError(Throwable error) {
      EventLog.log(LogEvent.UNEXPECTED_ERROR, "peers", error);
    }
  }
}
