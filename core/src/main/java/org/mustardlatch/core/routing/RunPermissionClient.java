package org.mustardlatch.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.peer.EvidenceMessage.RunEnded;
import org.mustardlatch.core.peer.EvidenceMessage.RunPermission;
import org.mustardlatch.core.peer.EvidenceMessage.RunRequest;
import org.mustardlatch.core.peer.EvidenceMessage.Verdict;

/**
 * Requests permissions to run suspects, each from an owner of its fingerprint: a node that
 * rendezvous hashing selects to grant these permissions.
 */
final class RunPermissionClient {
  static final String TIMER_KIND = "permission";

  private static final long RESPONSE_TIMEOUT_NANOS = 100_000_000;
  private static final long RETRY_INTERVAL_NANOS = 200_000_000;
  // The suspects of a group take turns, and most of their runs are short.
  private static final long GROUP_RETRY_INTERVAL_NANOS = 25_000_000;
  private static final int MAX_UNANSWERED_REQUESTS = 3;

  // An upstream may crash after its call was cancelled. Another suspect that ran meanwhile would be
  // on the same crash.
  private static final long ABANDONED_RUN_NANOS = 1_000_000_000;

  /** A permission to be returned, when its run can no longer crash the upstream. */
  private record Release(RequestId id, Fingerprint fingerprint, String group) {}

  private static final class PendingRequest {
    final RequestId id;
    final Fingerprint fingerprint;
    final String group;
    final long deadlineNanos;
    final Consumer<Verdict> receiver;
    int unansweredRequests;

    PendingRequest(
        RequestId id,
        Fingerprint fingerprint,
        String group,
        long deadlineNanos,
        Consumer<Verdict> receiver) {
      this.id = id;
      this.fingerprint = fingerprint;
      this.group = group;
      this.deadlineNanos = deadlineNanos;
      this.receiver = receiver;
    }
  }

  private final CommandCollector commands;
  private final CrashEvidenceCoordinator evidenceCoordinator;
  private final Map<String, PendingRequest> pending = new HashMap<>();
  private final Map<String, Release> delayedReleases = new HashMap<>();

  RunPermissionClient(CommandCollector commands, CrashEvidenceCoordinator evidenceCoordinator) {
    this.commands = commands;
    this.evidenceCoordinator = evidenceCoordinator;
  }

  /**
   * Requests the permission for one run of a suspect.
   *
   * @param group suspects of one group run one at a time in the fleet; empty for no group
   * @param deadlineNanos monotonic time after which waiting for another run is pointless
   * @param receiver receives the decision: {@link Verdict#WAIT} if the deadline passed while
   *     another run of the same content was in progress. If no owner responds, the run is
   *     permitted.
   */
  void request(
      RequestId id,
      Fingerprint fingerprint,
      String group,
      long deadlineNanos,
      Consumer<Verdict> receiver) {
    PendingRequest p = new PendingRequest(id, fingerprint, group, deadlineNanos, receiver);
    pending.put(id.value(), p);
    contactOwner(p);
  }

  /** Drops the request for a permission, if there is one. */
  void cancel(RequestId id) {
    pending.remove(id.value());
  }

  /**
   * Returns the permission of a run that ended, neither by a crash nor by completing.
   *
   * @param abandoned whether an upstream may still run the request; the permission is then kept for
   *     some time
   */
  void release(RequestId id, Fingerprint fingerprint, String group, boolean abandoned) {
    cancel(id);
    Release release = new Release(id, fingerprint, group);
    if (abandoned) {
      delayedReleases.put(id.value(), release);
      commands.setTimer(TIMER_KIND, id.value(), commands.now() + ABANDONED_RUN_NANOS);
    } else {
      sendRelease(release);
    }
  }

  private void sendRelease(Release r) {
    // The permission is with one of the owners that may have been asked.
    List<HostId> owners = evidenceCoordinator.ownersOf(ownerKey(r.fingerprint(), r.group()));
    for (HostId owner : owners.subList(0, Math.min(MAX_UNANSWERED_REQUESTS, owners.size()))) {
      commands.send(owner, new RunEnded(r.fingerprint(), r.id().value()));
    }
  }

  private static String ownerKey(Fingerprint fingerprint, String group) {
    return group.isEmpty() ? fingerprint.value() : group;
  }

  /** Handles the decision of an owner. */
  void permissionReceived(RunPermission response) {
    PendingRequest p = pending.get(response.attempt());
    if (p == null || !p.fingerprint.equals(response.fingerprint())) {
      return;
    }
    if (response.verdict() == Verdict.WAIT && commands.now() < p.deadlineNanos) {
      p.unansweredRequests = 0;
      setTimer(p, p.group.isEmpty() ? RETRY_INTERVAL_NANOS : GROUP_RETRY_INTERVAL_NANOS);
    } else {
      finish(p, response.verdict());
    }
  }

  /**
   * Repeats a request that an owner has not answered or has answered with WAIT, or returns the
   * permission of an abandoned run.
   */
  void timerFired(String subject) {
    Release release = delayedReleases.remove(subject);
    if (release != null) {
      sendRelease(release);
      return;
    }
    PendingRequest p = pending.get(subject);
    if (p != null) {
      if (commands.now() >= p.deadlineNanos) {
        finish(p, Verdict.WAIT);
      } else {
        contactOwner(p);
      }
    }
  }

  private void contactOwner(PendingRequest p) {
    HostId owner = nextOwner(p);
    if (owner == null) {
      finish(p, Verdict.RUN);
      return;
    }
    p.unansweredRequests++;
    commands.send(owner, new RunRequest(p.fingerprint, p.id.value(), p.group));
    setTimer(p, RESPONSE_TIMEOUT_NANOS);
  }

  private @Nullable HostId nextOwner(PendingRequest p) {
    List<HostId> owners = evidenceCoordinator.ownersOf(ownerKey(p.fingerprint, p.group));
    return owners.isEmpty() || p.unansweredRequests >= MAX_UNANSWERED_REQUESTS
        ? null
        : owners.get(p.unansweredRequests % owners.size());
  }

  private void setTimer(PendingRequest p, long delayNanos) {
    commands.setTimer(TIMER_KIND, p.id.value(), commands.now() + delayNanos);
  }

  private void finish(PendingRequest p, Verdict verdict) {
    pending.remove(p.id.value());
    commands.emit(new RoutingCommand.CancelTimer(new TimerKey(TIMER_KIND, p.id.value())));
    p.receiver.accept(verdict);
  }
}
