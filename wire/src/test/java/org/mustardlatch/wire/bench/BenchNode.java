package org.mustardlatch.wire.bench;

import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import org.mustardlatch.core.membership.MemberList;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.AdmissionMessage;
import org.mustardlatch.core.peer.PeerMessage;
import org.mustardlatch.wire.PeerNodeListener;

/** Records when a node sees what. */
final class BenchNode implements PeerNodeListener {
  private final AtomicLong errors;
  private final BiConsumer<Long, Long> applied;
  private volatile MemberList members = new MemberList(List.of(), Set.of());
  volatile BiConsumer<HostId, PeerMessage> reply = (to, message) -> {};
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

  /** Plays the admitting node and the entry node of a request: grant, then release. */
  @Override
  public void received(HostId from, long incarnation, PeerMessage message) {
    switch (message) {
      case AdmissionMessage.Reserve m -> reply.accept(from, BenchMessages.granted(m));
      case AdmissionMessage.ReserveGranted m -> reply.accept(from, BenchMessages.release(m));
      default -> {}
    }
  }

  @Override
  public void unexpected(Throwable error) {
    if (errors.getAndIncrement() == 0) {
      System.err.println("unexpected: " + error);
    }
  }
}
