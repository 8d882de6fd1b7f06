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

/**
 * Listener of one node that records its members and suspicions, passes on the revisions that it
 * activates and responds to the messages of a reservation.
 */
final class RecordingListener implements PeerNodeListener {
  private final AtomicLong errorCount;
  private final BiConsumer<Long, Long> revisionListener;
  private volatile MemberList members = new MemberList(List.of(), Set.of());
  volatile BiConsumer<HostId, PeerMessage> messageSender = (to, message) -> {};
  volatile long membersChangedNanos;
  volatile int suspicionCount;

  /**
   * @param revisionListener receives the revision and the activation time, nanoseconds, of each
   *     manifest
   */
  RecordingListener(AtomicLong errorCount, BiConsumer<Long, Long> revisionListener) {
    this.errorCount = errorCount;
    this.revisionListener = revisionListener;
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
  @SuppressWarnings("NonAtomicVolatileUpdate") // called by one thread at a time
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

  /**
   * Grants a reservation as an admitting node does, and releases a granted one as an entry node.
   */
  @Override
  public void messageReceived(HostId from, long incarnation, PeerMessage message) {
    switch (message) {
      case AdmissionMessage.Reserve m -> messageSender.accept(from, BenchMessages.granted(m));
      case AdmissionMessage.ReserveGranted m ->
          messageSender.accept(from, BenchMessages.release(m));
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
