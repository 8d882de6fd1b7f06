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
 * The service through which this node acts together with its peers: membership, spread of the
 * manifest, and messages between nodes. Add listeners before {@link #start}.
 */
public final class PeerService {
  private final PeerNodeOptions options;
  private final ManifestApplier manifestApplier;
  private final PeerNode node;
  private final List<PeerServiceListener> listeners = new CopyOnWriteArrayList<>();

  /**
   * Creates the service; it does nothing before {@link #start}.
   *
   * @param timers gives the time and runs the periodic tasks
   * @param random chooses seeds and partners of exchanges
   * @param gate puts manifests into force
   */
  public PeerService(
      PeerNodeOptions options, TimerService timers, RandomGenerator random, ManifestApplier gate) {
    this.options = options;
    this.manifestApplier = gate;
    this.node = new PeerNode(options, timers, random, new PeerNodeEvents());
  }

  /** Adds a listener. */
  public void addListener(PeerServiceListener listener) {
    listeners.add(listener);
  }

  /**
   * Starts to listen and to join.
   *
   * @return the address in use
   * @throws org.mustardlatch.core.error.MustardlatchException when the address can't be bound
   */
  public InetSocketAddress start() {
    if (options.tls() == null) {
      EventLog.log(LogEvent.PEERS_PLAIN, options.bind());
    }
    InetSocketAddress bound = node.start();
    EventLog.log(LogEvent.PEERS_LISTENING, bound, options.seeds().size());
    return bound;
  }

  /** Announces that this node is about to stop; call it when the last stream has finished. */
  public void leave() {
    node.leave();
  }

  /** Closes all connections. */
  public void stop() {
    node.stop();
  }

  /** Sends a message; one to this node itself is delivered to its own listeners. */
  public void send(HostId to, PeerMessage message) {
    node.send(to, message);
  }

  /** Spreads evidence to all other nodes. */
  public void broadcast(EvidenceMessage message) {
    node.broadcast(message);
  }

  /** Reports the peer addresses that the object service lists. */
  public void nodesListed(List<String> addresses) {
    node.nodesListed(addresses);
  }

  /**
   * Reports the manifest that was read from the object service, at the start or by a watch.
   *
   * @param revision 0 with empty text when the object service holds none
   */
  public void manifestStored(long revision, String text) {
    node.manifestStored(revision, text);
  }

  /**
   * Reports that this node stored a revision for an operator; {@link
   * PeerServiceListener#manifestAccepted} follows once it can't be lost.
   */
  public void manifestPublished(long revision, String text) {
    node.manifestPublished(revision, text);
  }

  /**
   * Sets the terms of the shared budgets of this region, by name, for example {@code
   * workspace/NAME}. Every node of the region must be given the same terms.
   */
  public void configureBudgets(Map<String, BudgetTerms> terms) {
    node.configureBudgets(terms);
  }

  /**
   * Spends units of a shared budget.
   *
   * @param units units to take, greater than 0
   * @param result called once, within about 350 ms, with whether the units were granted; must not
   *     block
   */
  public void spend(String budget, double units, Consumer<Boolean> result) {
    node.spend(budget, units, result);
  }

  /** Returns the current incarnation of this node. */
  public long incarnation() {
    return node.incarnation();
  }

  /** Returns the live nodes. */
  public MemberList members() {
    return node.members();
  }

  /** Returns the manifest revision in force; 0 for none. */
  public long activeRevision() {
    return node.activeRevision();
  }

  /** Returns whether the manifest in force is recent enough to serve requests. */
  public boolean configurationReady() {
    return node.configurationReady();
  }

  /** Returns counts since the start by name. */
  public Map<String, Long> counters() {
    return node.counters().snapshot();
  }

  /** Returns the state for a dump. Must not be called by a listener. */
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

  /** Logs events and passes them on. */
  private final class PeerNodeEvents implements PeerNodeListener {
    private Set<HostId> knownHosts = new HashSet<>();
    private Set<RegionId> unreachableRegions = Set.of();

    @Override
    public void membersChanged(MemberList list) {
      Set<HostId> now = new HashSet<>();
      list.members().forEach(m -> now.add(m.host()));
      Set<HostId> joined = new HashSet<>(now);
      joined.removeAll(knownHosts);
      knownHosts.removeAll(now);
      knownHosts.remove(options.host());
      joined.forEach(h -> EventLog.log(LogEvent.NODE_JOINED, h, now.size()));
      knownHosts.forEach(h -> EventLog.log(LogEvent.NODE_GONE, h, now.size()));
      knownHosts = now;
      for (RegionId r : list.unreachableRegions()) {
        if (!unreachableRegions.contains(r)) {
          EventLog.log(LogEvent.REGION_UNREACHABLE, r);
        }
      }
      for (RegionId r : unreachableRegions) {
        if (!list.unreachableRegions().contains(r)) {
          EventLog.log(LogEvent.REGION_REACHABLE, r);
        }
      }
      unreachableRegions = list.unreachableRegions();
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
