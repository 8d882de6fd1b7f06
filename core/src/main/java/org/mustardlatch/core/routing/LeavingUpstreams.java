package org.mustardlatch.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mustardlatch.core.model.UpstreamId;

/** Upstreams that some node saw a sign of leaving of. */
final class LeavingUpstreams {
  /** A sign holds this long; the host list and the manifest repeat theirs. */
  static final long SIGN_NANOS = 300_000_000_000L;

  /** Times that a node that saw the first sign sends its notice, as one message may be lost. */
  private static final int NOTICES = 4;

  private static final long NOTICE_INTERVAL_NANOS = 1_000_000_000;

  private static final class Sign {
    long untilNanos;
    int notices;
    long nextNoticeNanos;
  }

  private final Map<UpstreamId, Sign> signs = new HashMap<>();

  /** Records a sign that another node saw. */
  void heard(UpstreamId upstream, long now) {
    Sign sign = signs.computeIfAbsent(upstream, u -> new Sign());
    sign.untilNanos = now + SIGN_NANOS;
  }

  /** Records a sign that this node saw; it is then spread unless another node was first. */
  void seen(UpstreamId upstream, long now) {
    if (!contains(upstream, now)) {
      Sign sign = new Sign();
      sign.notices = NOTICES;
      sign.nextNoticeNanos = now;
      signs.put(upstream, sign);
    }
    heard(upstream, now);
  }

  boolean contains(UpstreamId upstream, long now) {
    Sign sign = signs.isEmpty() ? null : signs.get(upstream);
    return sign != null && now < sign.untilNanos;
  }

  /** Returns the upstreams that the other nodes must be told about now. */
  List<UpstreamId> dueNotices(long now) {
    List<UpstreamId> due = new ArrayList<>();
    signs.forEach(
        (upstream, sign) -> {
          if (sign.notices > 0 && now >= sign.nextNoticeNanos) {
            sign.notices--;
            sign.nextNoticeNanos = now + NOTICE_INTERVAL_NANOS;
            due.add(upstream);
          }
        });
    return due;
  }

  /** Returns all upstreams with a sign, for a node that joined. */
  List<UpstreamId> all(long now) {
    return signs.keySet().stream().filter(u -> contains(u, now)).toList();
  }

  /** Drops signs that have ended and upstreams that the manifest no longer has. */
  void expire(Topology topology, long now) {
    signs
        .entrySet()
        .removeIf(e -> now >= e.getValue().untilNanos || topology.cellOf(e.getKey()) == null);
  }
}
