package org.mustardlatch.core.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.WorkspaceId;

/** Start-time fair queueing over workspaces by weight; cost is prefill work. */
final class FairQueue {
  private static final Comparator<Waiting> BY_START =
      Comparator.<Waiting>comparingDouble(w -> w.start).thenComparingLong(w -> w.order);

  private final Map<AttemptId, Waiting> byAttempt = new HashMap<>();
  private final TreeSet<Waiting> byStart = new TreeSet<>(BY_START);
  private final Map<WorkspaceId, Double> lastFinish = new HashMap<>();
  private double virtualTime;
  private long arrivals;
  private long tokens;

  /** A request in the queue. */
  static final class Waiting {
    final Ask ask;
    private final double start;
    private final long order;

    private Waiting(Ask ask, double start, long order) {
      this.ask = ask;
      this.start = start;
      this.order = order;
    }
  }

  /**
   * Adds a request.
   *
   * @param weight share of its workspace, greater than 0
   */
  void add(Ask ask, double weight) {
    WorkspaceId workspace = ask.workspace();
    double start = Math.max(virtualTime, lastFinish.getOrDefault(workspace, 0.0));
    lastFinish.put(workspace, start + Math.max(1, ask.promptTokens()) / weight);
    Waiting w = new Waiting(ask, start, arrivals++);
    byAttempt.put(ask.attempt(), w);
    byStart.add(w);
    tokens += ask.promptTokens();
  }

  /** Returns the requests that would be served next, at most {@code count}. */
  List<Ask> first(int count) {
    List<Ask> result = new ArrayList<>(count);
    for (Waiting w : byStart) {
      if (result.size() == count) {
        break;
      }
      result.add(w.ask);
    }
    return result;
  }

  /** Removes a request that was granted; virtual time moves to its start. */
  void served(AttemptId attempt) {
    Waiting w = remove(attempt);
    if (w != null) {
      virtualTime = Math.max(virtualTime, w.start);
    }
    if (byStart.isEmpty()) {
      // An idle queue owes nothing to anyone, and forgotten workspaces must not stay in the map.
      lastFinish.clear();
      virtualTime = 0;
    }
  }

  /** Removes a request; returns null when it is not in the queue. */
  @Nullable Waiting remove(AttemptId attempt) {
    Waiting w = byAttempt.remove(attempt);
    if (w != null) {
      byStart.remove(w);
      tokens -= w.ask.promptTokens();
    }
    return w;
  }

  boolean contains(AttemptId attempt) {
    return byAttempt.containsKey(attempt);
  }

  int size() {
    return byStart.size();
  }

  /** Returns the prompt tokens that would be served before a new request of a workspace. */
  long tokensBefore(WorkspaceId workspace) {
    double start = Math.max(virtualTime, lastFinish.getOrDefault(workspace, 0.0));
    long sum = 0;
    for (Waiting w : byStart) {
      if (w.start > start) {
        break;
      }
      sum += w.ask.promptTokens();
    }
    return sum;
  }

  /** Returns the prompt tokens of all requests in the queue. */
  long tokensWaiting() {
    return tokens;
  }

  /** Returns the requests in the order in which they would be served. */
  List<Ask> all() {
    List<Ask> result = new ArrayList<>(byStart.size());
    byStart.forEach(w -> result.add(w.ask));
    return result;
  }
}
