package org.mustardlatch.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mustardlatch.core.model.UpstreamId;

/** Upstreams that some node saw a signal of leaving of. */
final class LeavingUpstreams {
  /** A signal holds this long; the host list and the manifest repeat theirs. */
  static final long SIGNAL_LIFETIME_NANOS = 300_000_000_000L;

  /** Times that a node that saw the first signal sends its notice, as one message may be lost. */
  private static final int MAX_NOTICES = 4;

  private static final long NOTICE_INTERVAL_NANOS = 1_000_000_000;

  private static final class LeavingSignal {
    long expiresNanos;
    int remainingNotices;
    long nextNoticeNanos;
  }

  private final Map<UpstreamId, LeavingSignal> signals = new HashMap<>();

  /** Records a signal that another node saw. */
  void recordRemoteSignal(UpstreamId upstream, long now) {
    LeavingSignal signal = signals.computeIfAbsent(upstream, u -> new LeavingSignal());
    signal.expiresNanos = now + SIGNAL_LIFETIME_NANOS;
  }

  /** Records a signal that this node saw; it is then spread unless another node was first. */
  void recordLocalSignal(UpstreamId upstream, long now) {
    if (!contains(upstream, now)) {
      LeavingSignal signal = new LeavingSignal();
      signal.remainingNotices = MAX_NOTICES;
      signal.nextNoticeNanos = now;
      signals.put(upstream, signal);
    }
    recordRemoteSignal(upstream, now);
  }

  boolean contains(UpstreamId upstream, long now) {
    LeavingSignal signal = signals.isEmpty() ? null : signals.get(upstream);
    return signal != null && now < signal.expiresNanos;
  }

  /** Returns the upstreams that the other nodes must be told about now. */
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

  /** Returns all upstreams with a signal, for a node that joined. */
  List<UpstreamId> listActive(long now) {
    return signals.keySet().stream().filter(u -> contains(u, now)).toList();
  }

  /** Drops signs that have ended and upstreams that the manifest no longer has. */
  void removeExpired(Topology topology, long now) {
    signals
        .entrySet()
        .removeIf(
            e -> now >= e.getValue().expiresNanos || topology.cellOfEngine(e.getKey()) == null);
  }
}
