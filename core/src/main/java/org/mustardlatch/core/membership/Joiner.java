package org.mustardlatch.core.membership;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.mustardlatch.core.peer.MembershipMessage;

/**
 * Finds the fleet through seeds and the list in the object service; either is enough. Later it asks
 * addresses that are not of live nodes now and then, so that two halves of a fleet that forgot each
 * other meet again.
 */
final class Joiner {
  private final NodeState node;
  private final RandomGenerator random;
  private final Set<String> seeds;
  private Set<String> listed = Set.of();
  private boolean joined;
  private long askedNanos;

  Joiner(NodeState node, List<String> seeds, RandomGenerator random, long now) {
    this.node = node;
    this.seeds = new LinkedHashSet<>(seeds);
    this.random = random;
    this.askedNanos = now - MembershipTimes.JOIN_PERIOD;
  }

  void listed(List<String> addresses) {
    listed = new LinkedHashSet<>(addresses);
  }

  void joined() {
    joined = true;
  }

  boolean isJoined() {
    return joined;
  }

  void tick(long now, Consumer<MembershipCommand> out) {
    long period = joined ? MembershipTimes.REJOIN_PERIOD : MembershipTimes.JOIN_PERIOD;
    if (now - askedNanos < period || node.leaving) {
      return;
    }
    askedNanos = now;
    List<String> candidates = candidates();
    int fanout = joined ? 1 : MembershipTimes.JOIN_FANOUT;
    for (int i = 0; i < fanout && !candidates.isEmpty(); i++) {
      String address = candidates.remove(random.nextInt(candidates.size()));
      out.accept(
          new MembershipCommand.SendToAddress(
              address, new MembershipMessage.Join(node.selfRumor())));
    }
  }

  private List<String> candidates() {
    Set<String> all = new LinkedHashSet<>(seeds);
    all.addAll(listed);
    all.remove(node.self.address());
    if (joined) {
      node.peers.values().stream().filter(Peer::live).forEach(p -> all.remove(p.rumor.address()));
    }
    return new ArrayList<>(all);
  }
}
