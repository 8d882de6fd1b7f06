package org.mustardlatch.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mustardlatch.core.model.UpstreamId;

/**
 * The upstreams that take no new work: those that are leaving (draining), as signaled by the
 * upstream itself, the host list or a notice of another node, and those that want no requests of
 * this node for some time. Leaving upstreams of the manifest are not recorded here: {@link
 * EngineState#isUsable} checks both.
 */
final class UnavailableUpstreams {
  /** Lifetime of a signal; the host list repeats its signal every time it is read. */
  static final long SIGNAL_LIFETIME_NANOS = 300_000_000_000L;

  /** Number of notices to the other nodes for a local signal, as one message may be lost. */
  private static final int MAX_NOTICES = 4;

  private static final long NOTICE_INTERVAL_NANOS = 1_000_000_000;

  private static final class LeavingSignal {
    long expiresNanos;
    int remainingNotices;
    long nextNoticeNanos;
  }

  private final Map<UpstreamId, LeavingSignal> signals = new HashMap<>();

  private final Map<UpstreamId, Long> pausedUntilNanos = new HashMap<>();

  /** Records until when an upstream wants no requests of this node, monotonic time. */
  void pause(UpstreamId upstream, long untilNanos) {
    pausedUntilNanos.merge(upstream, untilNanos, Math::max);
  }

  /** Records a signal that another node observed, or extends the lifetime of a recorded one. */
  void recordRemoteSignal(UpstreamId upstream, long now) {
    LeavingSignal signal = signals.computeIfAbsent(upstream, u -> new LeavingSignal());
    signal.expiresNanos = now + SIGNAL_LIFETIME_NANOS;
  }

  /** Records a signal that this node observed; notices follow unless it was already recorded. */
  void recordLocalSignal(UpstreamId upstream, long now) {
    if (!isLeaving(upstream, now)) {
      LeavingSignal signal = new LeavingSignal();
      signal.remainingNotices = MAX_NOTICES;
      signal.nextNoticeNanos = now;
      signals.put(upstream, signal);
    }
    recordRemoteSignal(upstream, now);
  }

  /** Returns whether an upstream must get no new work. */
  boolean contains(UpstreamId upstream, long now) {
    Long end = pausedUntilNanos.isEmpty() ? null : pausedUntilNanos.get(upstream);
    return isLeaving(upstream, now) || (end != null && now < end);
  }

  /** Returns whether an upstream has an unexpired signal that it is leaving. */
  private boolean isLeaving(UpstreamId upstream, long now) {
    LeavingSignal signal = signals.isEmpty() ? null : signals.get(upstream);
    return signal != null && now < signal.expiresNanos;
  }

  /** Returns the upstreams to notify the other nodes of now, and counts the notices as sent. */
  List<UpstreamId> takeDueNotices(long now) {
    List<UpstreamId> due = new ArrayList<>();
    signals.forEach(
        (upstream, signal) -> {
          if (signal.remainingNotices > 0 && now >= signal.nextNoticeNanos) {
            signal.remainingNotices--;
            signal.nextNoticeNanos = now + NOTICE_INTERVAL_NANOS;
            due.add(upstream);
          }
        });
    return due;
  }

  /** Returns all upstreams with an unexpired signal, to be sent to a node that joined. */
  List<UpstreamId> listActive(long now) {
    return signals.keySet().stream().filter(u -> isLeaving(u, now)).toList();
  }

  /** Drops expired signals and pauses, and upstreams that are no longer in the manifest. */
  void removeExpired(Topology topology, long now) {
    pausedUntilNanos.values().removeIf(end -> now >= end);
    signals
        .entrySet()
        .removeIf(
            e -> now >= e.getValue().expiresNanos || topology.cellOfEngine(e.getKey()) == null);
  }
}
