package org.mustardlatch.core.balancing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.UpstreamId;

/**
 * Chooses the application upstream with the shortest predicted answer time, from this node's own
 * requests in progress and the load that upstreams state in their answers.
 *
 * <p>Answers the load of few upstreams of which one is a straggler for some hundred milliseconds.
 * Not safe for use by several threads.
 */
public final class Balancer {
  // Stated load is as old as the answer that carried it; after this it says nothing any more.
  private static final long MAX_LOAD_AGE_NANOS = 400_000_000;
  private static final long INITIAL_SERVICE_TIME_NANOS = 20_000_000;
  private static final double SERVICE_TIME_EWMA_WEIGHT = 0.2;
  // An upstream that broke off is tried again after 0.25 s, 0.5 s and so on up to 4 s.
  private static final long INITIAL_BACKOFF_NANOS = 250_000_000;
  private static final int MAX_BACKOFF_DOUBLINGS = 4;

  private static final class UpstreamState {
    int inFlight;
    double serviceTimeNanos = INITIAL_SERVICE_TIME_NANOS;
    @Nullable UpstreamLoad load;
    long loadReportedNanos;
    int inFlightAtLoadReport;
    long backoffUntilNanos = Long.MIN_VALUE;
    int consecutiveFailures;
  }

  private final Map<UpstreamId, UpstreamState> states = new HashMap<>();

  /**
   * Returns the upstream with the shortest predicted answer time, or null when there is none.
   *
   * @param candidates upstreams that may be used
   * @param tried upstreams that failed this request already; never chosen
   * @param now monotonic time, nanoseconds
   */
  public @Nullable Candidate choose(List<Candidate> candidates, Set<UpstreamId> tried, long now) {
    Candidate best = null;
    double bestScore = Double.MAX_VALUE;
    for (Candidate c : candidates) {
      if (tried.contains(c.id())) {
        continue;
      }
      double score = predictedResponseNanos(c, now);
      if (state(c.id()).backoffUntilNanos > now) {
        // Only when nothing else is left.
        score += Long.MAX_VALUE / 2.0;
      }
      if (score < bestScore) {
        best = c;
        bestScore = score;
      }
    }
    return best;
  }

  /** Returns the predicted time from sending a request to its answer, nanoseconds. */
  public double predictedResponseNanos(Candidate c, long now) {
    UpstreamState s = state(c.id());
    double running = s.inFlight;
    double slowness = 1;
    UpstreamLoad load = s.load;
    if (load != null && now - s.loadReportedNanos < MAX_LOAD_AGE_NANOS) {
      double others = Math.max(0, load.running() + load.waiting() - s.inFlightAtLoadReport);
      running += others * (1 - (double) (now - s.loadReportedNanos) / MAX_LOAD_AGE_NANOS);
      slowness = load.slowdownFactor();
    }
    double queued = Math.max(0, running + 1 - c.slots());
    return c.roundTripNanos() + s.serviceTimeNanos * slowness * (1 + queued / c.slots());
  }

  /** Takes note that a request was sent. */
  public void requestSent(UpstreamId id) {
    state(id).inFlight++;
  }

  /** Takes note that an upstream answered a request, whatever the answer. */
  public void responseReceived(UpstreamId id, long durationNanos, @Nullable UpstreamLoad load, long now) {
    UpstreamState s = state(id);
    s.inFlight = Math.max(0, s.inFlight - 1);
    s.consecutiveFailures = 0;
    double slowness = load == null ? 1 : Math.max(1, load.slowdownFactor());
    double usual = durationNanos / slowness;
    s.serviceTimeNanos += SERVICE_TIME_EWMA_WEIGHT * (usual - s.serviceTimeNanos);
    recordLoad(s, load, now);
  }

  /** Takes note that an upstream refused a request that it did not run. */
  public void requestRefused(UpstreamId id, @Nullable UpstreamLoad load, long now) {
    UpstreamState s = state(id);
    s.inFlight = Math.max(0, s.inFlight - 1);
    recordLoad(s, load, now);
    s.backoffUntilNanos = Math.max(s.backoffUntilNanos, now + INITIAL_BACKOFF_NANOS / 4);
  }

  /** Takes note that a request to an upstream was broken off or got no answer. */
  public void requestFailed(UpstreamId id, long now) {
    UpstreamState s = state(id);
    s.inFlight = Math.max(0, s.inFlight - 1);
    long block = INITIAL_BACKOFF_NANOS << Math.min(MAX_BACKOFF_DOUBLINGS, s.consecutiveFailures);
    s.backoffUntilNanos = Math.max(s.backoffUntilNanos, now + block);
    s.consecutiveFailures++;
  }

  /** Takes note that this node gave a request up before its answer. */
  public void requestCancelled(UpstreamId id) {
    UpstreamState s = state(id);
    s.inFlight = Math.max(0, s.inFlight - 1);
  }

  /** Forgets upstreams that no longer exist. */
  public void retainOnly(Set<UpstreamId> known) {
    states.keySet().retainAll(known);
  }

  private static void recordLoad(UpstreamState s, @Nullable UpstreamLoad load, long now) {
    if (load != null) {
      s.load = load;
      s.loadReportedNanos = now;
      s.inFlightAtLoadReport = s.inFlight;
    }
  }

  private UpstreamState state(UpstreamId id) {
    return states.computeIfAbsent(id, i -> new UpstreamState());
  }
}
