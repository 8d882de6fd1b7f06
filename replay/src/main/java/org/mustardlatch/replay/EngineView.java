package org.mustardlatch.replay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.manifest.Upstream;
import org.mustardlatch.core.model.ModelId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.routing.LoadReport;

/** What one node of a baseline knows about the engines: the manifest, reports, its own work. */
final class EngineView {
  /** Own dispatches younger than this are not in the reports yet. */
  private static final long REPORT_AGE_NANOS = 1_500_000_000L;

  /** An engine that broke a connection gets no new work for this long. */
  private static final long EJECTION_NANOS = 5_000_000_000L;

  private final Map<UpstreamId, LoadReport> reports = new HashMap<>();
  private final Map<UpstreamId, Deque<Long>> sent = new HashMap<>();
  private final Map<UpstreamId, Long> ejectedUntil = new HashMap<>();
  private final Set<UpstreamId> leaving = new HashSet<>();
  private @Nullable Manifest manifest;

  void apply(Manifest m) {
    manifest = m;
  }

  void report(UpstreamId id, LoadReport report) {
    reports.put(id, report);
    if (report.leaving()) {
      leaving.add(id);
    }
  }

  void leaving(UpstreamId id) {
    leaving.add(id);
  }

  void eject(UpstreamId id, long now) {
    ejectedUntil.put(id, now + EJECTION_NANOS);
  }

  void sent(UpstreamId id, long now) {
    sent.computeIfAbsent(id, i -> new ArrayDeque<>()).add(now);
  }

  /** Returns the engines of a model in a region, or outside of it, that may get work. */
  List<Upstream> engines(ModelId model, RegionId region, boolean outside, long now) {
    Manifest m = manifest;
    if (m == null) {
      return List.of();
    }
    return m.upstreams().stream()
        .filter(u -> model.equals(u.model()) && !u.leaving() && !leaving.contains(u.id()))
        .filter(u -> m.regionOf(u.zone()).filter(region::equals).isEmpty() == outside)
        .filter(u -> ejectedUntil.getOrDefault(u.id(), 0L) <= now)
        .toList();
  }

  /** Returns the reported load of an engine plus the own work that is not reported yet. */
  long load(Upstream u, long now) {
    LoadReport r = reports.get(u.id());
    Deque<Long> own = sent.computeIfAbsent(u.id(), i -> new ArrayDeque<>());
    while (!own.isEmpty() && own.peek() < now - REPORT_AGE_NANOS) {
      own.remove();
    }
    int reported = r == null ? 0 : r.runningRequests() + r.queuedRequests();
    return (long) reported + own.size();
  }

  RegionId regionOf(UpstreamId id) {
    Manifest m = manifest;
    if (m == null) {
      throw new IllegalStateException("no manifest is in force");
    }
    return m.upstream(id).flatMap(u -> m.regionOf(u.zone())).orElseThrow();
  }
}
