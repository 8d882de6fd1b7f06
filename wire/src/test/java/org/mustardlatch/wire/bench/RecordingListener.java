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
final class RecordingListener implements PeerNodeListener {
  private final AtomicLong errorCount;
  private final BiConsumer<Long, Long> revisionListener;
  private volatile MemberList members = new MemberList(List.of(), Set.of());
  volatile BiConsumer<HostId, PeerMessage> messageSender = (to, message) -> {};
  volatile long membersChangedNanos;
  volatile int suspicionCount;

  /**
   * @param applied receives revision and time of each configuration that came into force
   */
  RecordingListener(AtomicLong errors, BiConsumer<Long, Long> applied) {
    this.errorCount = errors;
    this.revisionListener = applied;
  }

  int memberCount() {
    return members.members().size();
  }

  boolean hasMember(HostId host) {
    return members.members().stream().anyMatch(m -> m.host().equals(host));
  }

  @Override
  public void membersChanged(MemberList list) {
    membersChangedNanos = System.nanoTime();
    members = list;
  }

  @Override
  @SuppressWarnings("NonAtomicVolatileUpdate") // calls come one after another
  public void nodeSuspected(HostId host) {
    suspicionCount++;
  }

  @Override
  public void fenced(long incarnation, long pausedNanos) {}

  @Override
  public boolean applyManifest(long revision, String text) {
    revisionListener.accept(revision, System.nanoTime());
    return true;
  }

  @Override
  public void manifestAccepted(long revision) {}

  @Override
  public void manifestWatchChanged(boolean watch) {}

  @Override
  public void configurationReady(long revision) {}

  /** Plays the admitting node and the entry node of a request: grant, then release. */
  @Override
  public void messageReceived(HostId from, long incarnation, PeerMessage message) {
    switch (message) {
      case AdmissionMessage.Reserve m -> messageSender.accept(from, BenchMessages.granted(m));
      case AdmissionMessage.ReserveGranted m -> messageSender.accept(from, BenchMessages.release(m));
      default -> {}
    }
  }

  @Override
  public void unexpectedError(Throwable error) {
    if (errorCount.getAndIncrement() == 0) {
      System.err.println("unexpected: " + error);
    }
  }
}
