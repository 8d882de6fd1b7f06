package org.mustardlatch.core.balancing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.UpstreamId;

/**
 * Load balancer that chooses the application upstream with the shortest predicted response time,
 * based on this node's own requests in progress and the load that upstreams report in their
 * responses.
 *
 * <p>Designed for services with few upstreams, one of which may be slow for some hundred
 * milliseconds. Not thread-safe.
 */
public final class Balancer {
  // Reported load is as old as the response that carried it. The requests of others in it count
  // linearly less with age; after this age the report is ignored.
  private static final long MAX_LOAD_AGE_NANOS = 400_000_000;
  private static final long INITIAL_SERVICE_TIME_NANOS = 20_000_000;
  private static final double SERVICE_TIME_EWMA_WEIGHT = 0.2;
  // A failed upstream is avoided for 0.25 s, 0.5 s and so on, up to 4 s.
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
   * Returns the upstream with the shortest predicted response time; one that is avoided after a
   * failure or refusal only if there is no other; null if there is none.
   *
   * @param candidates upstreams that may be used
   * @param attempted upstreams that already failed this request; never chosen
   * @param now monotonic time, nanoseconds
   */
  public @Nullable Candidate choose(
      List<Candidate> candidates, Set<UpstreamId> attempted, long now) {
    Candidate best = null;
    double bestScore = Double.MAX_VALUE;
    for (Candidate c : candidates) {
      if (attempted.contains(c.id())) {
        continue;
      }
      double score = score(c, now);
      if (score < bestScore) {
        best = c;
        bestScore = score;
      }
    }
    return best;
  }

  /**
   * Returns the upstreams that may be used, the one that {@link #choose} returns first.
   *
   * @param candidates upstreams that may be used
   * @param attempted upstreams that already failed this request; left out
   * @param now monotonic time, nanoseconds
   */
  public List<Candidate> rank(List<Candidate> candidates, Set<UpstreamId> attempted, long now) {
    return candidates.stream()
        .filter(c -> !attempted.contains(c.id()))
        .sorted(Comparator.comparingDouble(c -> score(c, now)))
        .toList();
  }

  private double score(Candidate c, long now) {
    double score = predictedResponseNanos(c, now);
    // An upstream that is avoided is chosen only if no other candidate is left.
    return state(c.id()).backoffUntilNanos > now ? score + Long.MAX_VALUE / 2.0 : score;
  }

  /**
   * Returns whether an upstream that is not avoided is expected to have a free slot.
   *
   * @param now monotonic time, nanoseconds
   */
  public boolean hasFreeSlot(Candidate c, long now) {
    UpstreamState s = state(c.id());
    return s.backoffUntilNanos <= now && concurrentRequests(s, now) + 1 <= c.slots();
  }

  /** Returns the predicted time from sending a request until its response, nanoseconds. */
  public double predictedResponseNanos(Candidate c, long now) {
    UpstreamState s = state(c.id());
    UpstreamLoad load = s.load;
    double slowdownFactor = load != null && loadIsRecent(s, now) ? load.slowdownFactor() : 1;
    double queued = Math.max(0, concurrentRequests(s, now) + 1 - c.slots());
    return c.roundTripNanos() + s.serviceTimeNanos * slowdownFactor * (1 + queued / c.slots());
  }

  private static double concurrentRequests(UpstreamState s, long now) {
    UpstreamLoad load = s.load;
    if (load == null || !loadIsRecent(s, now)) {
      return s.inFlight;
    }
    double otherRequests = Math.max(0, load.running() + load.waiting() - s.inFlightAtLoadReport);
    double weight = 1 - (double) (now - s.loadReportedNanos) / MAX_LOAD_AGE_NANOS;
    return s.inFlight + otherRequests * weight;
  }

  private static boolean loadIsRecent(UpstreamState s, long now) {
    return now - s.loadReportedNanos < MAX_LOAD_AGE_NANOS;
  }

  /** Records that a request was sent. */
  public void requestSent(UpstreamId id) {
    state(id).inFlight++;
  }

  /** Records that an upstream responded to a request, with whatever status. */
  public void responseReceived(
      UpstreamId id, long durationNanos, @Nullable UpstreamLoad load, long now) {
    UpstreamState s = state(id);
    s.inFlight = Math.max(0, s.inFlight - 1);
    s.consecutiveFailures = 0;
    double slowdownFactor = load == null ? 1 : Math.max(1, load.slowdownFactor());
    double baseline = durationNanos / slowdownFactor;
    s.serviceTimeNanos += SERVICE_TIME_EWMA_WEIGHT * (baseline - s.serviceTimeNanos);
    recordLoad(s, load, now);
  }

  /** Records that an upstream refused a request without running it. */
  public void requestRefused(UpstreamId id, @Nullable UpstreamLoad load, long now) {
    UpstreamState s = state(id);
    s.inFlight = Math.max(0, s.inFlight - 1);
    recordLoad(s, load, now);
    s.backoffUntilNanos = Math.max(s.backoffUntilNanos, now + INITIAL_BACKOFF_NANOS / 4);
  }

  /** Records that a request to an upstream was interrupted or got no response. */
  public void requestFailed(UpstreamId id, long now) {
    UpstreamState s = state(id);
    s.inFlight = Math.max(0, s.inFlight - 1);
    long backoff = INITIAL_BACKOFF_NANOS << Math.min(MAX_BACKOFF_DOUBLINGS, s.consecutiveFailures);
    s.backoffUntilNanos = Math.max(s.backoffUntilNanos, now + backoff);
    s.consecutiveFailures++;
  }

  /** Records that this node cancelled a request before its response. */
  public void requestCancelled(UpstreamId id) {
    UpstreamState s = state(id);
    s.inFlight = Math.max(0, s.inFlight - 1);
  }

  /** Removes the state of upstreams that no longer exist. */
  public void retainOnly(Set<UpstreamId> existing) {
    states.keySet().retainAll(existing);
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
