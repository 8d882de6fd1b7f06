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
  private static final long LOAD_AGE_NANOS = 400_000_000;
  private static final long INITIAL_SERVICE_NANOS = 20_000_000;
  private static final double NEWEST_WEIGHT = 0.2;
  // An upstream that broke off is tried again after 0.25 s, 0.5 s and so on up to 4 s.
  private static final long FIRST_BLOCK_NANOS = 250_000_000;
  private static final int MAX_DOUBLINGS = 4;

  private static final class State {
    int inFlight;
    double serviceNanos = INITIAL_SERVICE_NANOS;
    @Nullable UpstreamLoad load;
    long loadNanos;
    int inFlightAtLoad;
    long blockedUntilNanos = Long.MIN_VALUE;
    int failures;
  }

  private final Map<UpstreamId, State> states = new HashMap<>();

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
      double score = predictedNanos(c, now);
      if (state(c.id()).blockedUntilNanos > now) {
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
  public double predictedNanos(Candidate c, long now) {
    State s = state(c.id());
    double running = s.inFlight;
    double slowness = 1;
    UpstreamLoad load = s.load;
    if (load != null && now - s.loadNanos < LOAD_AGE_NANOS) {
      double others = Math.max(0, load.running() + load.waiting() - s.inFlightAtLoad);
      running += others * (1 - (double) (now - s.loadNanos) / LOAD_AGE_NANOS);
      slowness = load.slowness();
    }
    double queued = Math.max(0, running + 1 - c.slots());
    return c.distanceNanos() + s.serviceNanos * slowness * (1 + queued / c.slots());
  }

  /** Takes note that a request was sent. */
  public void sent(UpstreamId id) {
    state(id).inFlight++;
  }

  /** Takes note that an upstream answered a request, whatever the answer. */
  public void answered(UpstreamId id, long durationNanos, @Nullable UpstreamLoad load, long now) {
    State s = state(id);
    s.inFlight = Math.max(0, s.inFlight - 1);
    s.failures = 0;
    double slowness = load == null ? 1 : Math.max(1, load.slowness());
    double usual = durationNanos / slowness;
    s.serviceNanos += NEWEST_WEIGHT * (usual - s.serviceNanos);
    stated(s, load, now);
  }

  /** Takes note that an upstream refused a request that it did not run. */
  public void refused(UpstreamId id, @Nullable UpstreamLoad load, long now) {
    State s = state(id);
    s.inFlight = Math.max(0, s.inFlight - 1);
    stated(s, load, now);
    s.blockedUntilNanos = Math.max(s.blockedUntilNanos, now + FIRST_BLOCK_NANOS / 4);
  }

  /** Takes note that a request to an upstream was broken off or got no answer. */
  public void failed(UpstreamId id, long now) {
    State s = state(id);
    s.inFlight = Math.max(0, s.inFlight - 1);
    long block = FIRST_BLOCK_NANOS << Math.min(MAX_DOUBLINGS, s.failures);
    s.blockedUntilNanos = Math.max(s.blockedUntilNanos, now + block);
    s.failures++;
  }

  /** Takes note that this node gave a request up before its answer. */
  public void abandoned(UpstreamId id) {
    State s = state(id);
    s.inFlight = Math.max(0, s.inFlight - 1);
  }

  /** Forgets upstreams that no longer exist. */
  public void keep(Set<UpstreamId> known) {
    states.keySet().retainAll(known);
  }

  private static void stated(State s, @Nullable UpstreamLoad load, long now) {
    if (load != null) {
      s.load = load;
      s.loadNanos = now;
      s.inFlightAtLoad = s.inFlight;
    }
  }

  private State state(UpstreamId id) {
    return states.computeIfAbsent(id, i -> new State());
  }
}
