package org.mustardlatch.core.membership;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.mustardlatch.core.peer.MembershipMessage;

/**
 * Sends join requests to the seeds and to the addresses listed in the object service; either source
 * is enough. After the node has joined, it sends one such request every 30 s to an address that
 * belongs to no live node, so that two halves of a partitioned fleet that removed each other merge
 * again; more often for some time after the seeds have changed.
 */
final class FleetJoiner {
  private final MembershipState state;
  private final RandomGenerator random;
  private final Set<String> seeds;
  private Set<String> listedAddresses = Set.of();
  private boolean joined;
  private long lastJoinNanos;
  private boolean hasNewSeeds;
  private long seedsChangedNanos;

  FleetJoiner(MembershipState state, List<String> seeds, RandomGenerator random, long now) {
    this.state = state;
    this.seeds = new LinkedHashSet<>(seeds);
    this.random = random;
    this.lastJoinNanos = now - MembershipConstants.JOIN_PERIOD;
  }

  void updateListedAddresses(List<String> addresses) {
    listedAddresses = new LinkedHashSet<>(addresses);
  }

  void updateSeeds(List<String> addresses, long now) {
    if (!seeds.equals(Set.copyOf(addresses))) {
      seeds.clear();
      seeds.addAll(addresses);
      hasNewSeeds = true;
      seedsChangedNanos = now;
    }
  }

  void markJoined() {
    joined = true;
  }

  boolean isJoined() {
    return joined;
  }

  void tick(long now, Consumer<MembershipCommand> out) {
    hasNewSeeds = hasNewSeeds && now - seedsChangedNanos < MembershipConstants.NEW_SEEDS_PERIOD;
    boolean urgent = !joined || hasNewSeeds;
    long period = urgent ? MembershipConstants.JOIN_PERIOD : MembershipConstants.REJOIN_PERIOD;
    if (now - lastJoinNanos < period || state.leaving) {
      return;
    }
    lastJoinNanos = now;
    List<String> candidates = candidates();
    int fanout = urgent ? MembershipConstants.JOIN_FANOUT : 1;
    for (int i = 0; i < fanout && !candidates.isEmpty(); i++) {
      String address = candidates.remove(random.nextInt(candidates.size()));
      out.accept(
          new MembershipCommand.SendToAddress(
              address, new MembershipMessage.Join(state.selfRumor())));
    }
  }

  private List<String> candidates() {
    Set<String> all = new LinkedHashSet<>(seeds);
    all.addAll(listedAddresses);
    all.remove(state.self.address());
    if (joined) {
      state.peers.values().stream()
          .filter(Peer::isLive)
          .forEach(p -> all.remove(p.rumor.address()));
    }
    return new ArrayList<>(all);
  }
}
