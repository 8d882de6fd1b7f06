package org.mustardlatch.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeSet;
import org.mustardlatch.core.membership.RendezvousHash.ScoredHost;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;

/**
 * Overlay that assigns observers to nodes. The observers of a node receive its heartbeats and
 * detect its failure. A node has 8 observers: 6 of its own region and 2 of other regions, the first
 * ones in rendezvous order for its name; if one group has too few nodes, the other fills the
 * remaining places. Updated incrementally as nodes are added and removed, because ranking all pairs
 * again takes 390 times as long.
 */
final class ObserverOverlay {
  static final int OBSERVERS = 8;
  static final int REMOTE_OBSERVERS = 2;

  /**
   * Node with its best candidates for observers.
   *
   * @param local candidates of its own region with the highest scores, at most {@link #OBSERVERS}
   * @param remote candidates of other regions with the highest scores, at most {@link #OBSERVERS}
   */
  private record Node(
      RegionId region,
      long hash,
      NavigableSet<ScoredHost> local,
      NavigableSet<ScoredHost> remote) {}

  private final Map<HostId, Node> nodes = new HashMap<>();

  void add(HostId host, RegionId region) {
    if (nodes.containsKey(host)) {
      return;
    }
    Node added =
        new Node(region, RendezvousHash.hash(host.value()), new TreeSet<>(), new TreeSet<>());
    nodes.forEach(
        (other, n) -> {
          offerCandidate(n, host, added);
          offerCandidate(added, other, n);
        });
    nodes.put(host, added);
  }

  void remove(HostId host) {
    Node removed = nodes.remove(host);
    if (removed == null) {
      return;
    }
    nodes.forEach(
        (other, n) -> {
          Set<ScoredHost> best = n.region.equals(removed.region) ? n.local : n.remote;
          if (best.removeIf(s -> s.host().equals(host))) {
            refill(other, n);
          }
        });
  }

  int size() {
    return nodes.size();
  }

  /** Returns the observers of a node, in order of their score; empty if the host is unknown. */
  List<HostId> observersOf(HostId host) {
    Node n = nodes.get(host);
    return n == null ? List.of() : selectObservers(n).stream().map(ScoredHost::host).toList();
  }

  /** Returns the nodes that the given observer observes. */
  Set<HostId> observedBy(HostId observer) {
    Set<HostId> observed = new LinkedHashSet<>();
    nodes.forEach(
        (other, n) -> {
          if (selectObservers(n).stream().anyMatch(s -> s.host().equals(observer))) {
            observed.add(other);
          }
        });
    return observed;
  }

  private static Collection<ScoredHost> selectObservers(Node n) {
    int remote = Math.min(n.remote.size(), Math.max(REMOTE_OBSERVERS, OBSERVERS - n.local.size()));
    int local = Math.min(n.local.size(), OBSERVERS - remote);
    List<ScoredHost> all = new ArrayList<>(OBSERVERS);
    n.local.stream().limit(local).forEach(all::add);
    n.remote.stream().limit(remote).forEach(all::add);
    return all;
  }

  private static void offerCandidate(Node target, HostId host, Node candidate) {
    NavigableSet<ScoredHost> best =
        target.region.equals(candidate.region) ? target.local : target.remote;
    long score = RendezvousHash.score(target.hash, candidate.hash);
    if (best.size() == OBSERVERS && score < best.last().score()) {
      return;
    }
    best.add(new ScoredHost(host, score));
    if (best.size() > OBSERVERS) {
      best.pollLast();
    }
  }

  private void refill(HostId host, Node n) {
    nodes.forEach(
        (other, candidate) -> {
          if (!other.equals(host)) {
            offerCandidate(n, other, candidate);
          }
        });
  }
}
