package org.mustardlatch.wire.bench;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import org.mustardlatch.core.membership.MemberList;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.PeerMessage;
import org.mustardlatch.wire.PeerNodeListener;

/** Records when a node sees what. */
final class BenchNode implements PeerNodeListener {
  private final AtomicLong errors;
  private final BiConsumer<Long, Long> applied;
  private volatile MemberList members = new MemberList(java.util.List.of(), java.util.Set.of());
  volatile long membersChangedNanos;
  volatile int suspicions;

  /**
   * @param applied receives revision and time of each configuration that came into force
   */
  BenchNode(AtomicLong errors, BiConsumer<Long, Long> applied) {
    this.errors = errors;
    this.applied = applied;
  }

  int size() {
    return members.members().size();
  }

  boolean sees(HostId host) {
    return members.members().stream().anyMatch(m -> m.host().equals(host));
  }

  @Override
  public void membersChanged(MemberList list) {
    membersChangedNanos = System.nanoTime();
    members = list;
  }

  @Override
  @SuppressWarnings("NonAtomicVolatileUpdate") // calls come one after another
  public void suspected(HostId host) {
    suspicions++;
  }

  @Override
  public void fenced(long incarnation, long pausedNanos) {}

  @Override
  public boolean apply(long revision, String text) {
    applied.accept(revision, System.nanoTime());
    return true;
  }

  @Override
  public void accepted(long revision) {}

  @Override
  public void watchChanged(boolean watch) {}

  @Override
  public void ready(long revision) {}

  @Override
  public void received(HostId from, long incarnation, PeerMessage message) {}

  @Override
  public void unexpected(Throwable error) {
    if (errors.getAndIncrement() == 0) {
      System.err.println("unexpected: " + error);
    }
  }
}
