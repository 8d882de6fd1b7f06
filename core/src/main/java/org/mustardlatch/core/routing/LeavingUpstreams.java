package org.mustardlatch.core.routing;

import java.util.HashMap;
import java.util.Map;
import org.mustardlatch.core.model.UpstreamId;

/** Upstreams that some node saw a sign of leaving of. */
final class LeavingUpstreams {
  /** A sign holds this long; the host list and the manifest repeat theirs. */
  static final long SIGN_NANOS = 300_000_000_000L;

  private final Map<UpstreamId, Long> untilNanos = new HashMap<>();

  /** Records a sign; returns whether the upstream was not known to be leaving before. */
  boolean add(UpstreamId upstream, long now) {
    Long before = untilNanos.put(upstream, now + SIGN_NANOS);
    return before == null || now >= before;
  }

  boolean contains(UpstreamId upstream, long now) {
    Long until = untilNanos.get(upstream);
    return until != null && now < until;
  }

  /** Drops signs that have ended and upstreams that the manifest no longer has. */
  void expire(Topology topology, long now) {
    untilNanos.entrySet().removeIf(e -> now >= e.getValue() || topology.cellOf(e.getKey()) == null);
  }
}
