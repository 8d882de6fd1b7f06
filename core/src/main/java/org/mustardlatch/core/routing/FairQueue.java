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
  private static final Comparator<QueuedRequest> BY_START_TAG =
      Comparator.<QueuedRequest>comparingDouble(w -> w.startTag)
          .thenComparingLong(w -> w.arrivalOrder);

  private final Map<AttemptId, QueuedRequest> byAttempt = new HashMap<>();
  private final TreeSet<QueuedRequest> byStartTag = new TreeSet<>(BY_START_TAG);
  private final Map<WorkspaceId, Double> lastFinishTag = new HashMap<>();
  private double virtualTime;
  private long arrivalCount;
  private long totalPromptTokens;

  /** A request in the queue. */
  static final class QueuedRequest {
    final ReservationRequest request;
    private final double startTag;
    private final long arrivalOrder;

    private QueuedRequest(ReservationRequest request, double start, long order) {
      this.request = request;
      this.startTag = start;
      this.arrivalOrder = order;
    }
  }

  /**
   * Adds a request.
   *
   * @param weight share of its workspace, greater than 0
   */
  void add(ReservationRequest request, double weight) {
    WorkspaceId workspace = request.workspace();
    double start = Math.max(virtualTime, lastFinishTag.getOrDefault(workspace, 0.0));
    lastFinishTag.put(workspace, start + Math.max(1, request.promptTokens()) / weight);
    QueuedRequest w = new QueuedRequest(request, start, arrivalCount++);
    byAttempt.put(request.attempt(), w);
    byStartTag.add(w);
    totalPromptTokens += request.promptTokens();
  }

  /** Returns the requests that would be served next, at most {@code count}. */
  List<ReservationRequest> nextRequests(int count) {
    List<ReservationRequest> result = new ArrayList<>(count);
    for (QueuedRequest w : byStartTag) {
      if (result.size() == count) {
        break;
      }
      result.add(w.request);
    }
    return result;
  }

  /** Removes a request that was granted; virtual time moves to its start. */
  void removeServed(AttemptId attempt) {
    QueuedRequest w = remove(attempt);
    if (w != null) {
      virtualTime = Math.max(virtualTime, w.startTag);
    }
    if (byStartTag.isEmpty()) {
      // An idle queue owes nothing to anyone, and forgotten workspaces must not stay in the map.
      lastFinishTag.clear();
      virtualTime = 0;
    }
  }

  /** Removes a request; returns null when it is not in the queue. */
  @Nullable QueuedRequest remove(AttemptId attempt) {
    QueuedRequest w = byAttempt.remove(attempt);
    if (w != null) {
      byStartTag.remove(w);
      totalPromptTokens -= w.request.promptTokens();
    }
    return w;
  }

  boolean contains(AttemptId attempt) {
    return byAttempt.containsKey(attempt);
  }

  int size() {
    return byStartTag.size();
  }

  /** Returns the prompt tokens that would be served before a new request of a workspace. */
  long promptTokensAhead(WorkspaceId workspace) {
    double start = Math.max(virtualTime, lastFinishTag.getOrDefault(workspace, 0.0));
    long sum = 0;
    for (QueuedRequest w : byStartTag) {
      if (w.startTag > start) {
        break;
      }
      sum += w.request.promptTokens();
    }
    return sum;
  }

  /** Returns the prompt tokens of all requests in the queue. */
  long queuedPromptTokens() {
    return totalPromptTokens;
  }

  /** Returns the requests in the order in which they would be served. */
  List<ReservationRequest> allRequests() {
    List<ReservationRequest> result = new ArrayList<>(byStartTag.size());
    byStartTag.forEach(w -> result.add(w.request));
    return result;
  }
}
