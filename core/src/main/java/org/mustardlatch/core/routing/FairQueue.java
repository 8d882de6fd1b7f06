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

/**
 * Start-time fair queueing (SFQ) of reservation requests: workspaces share the service by weight,
 * and the cost of a request is the KV memory that it occupies multiplied by the time. Both grow
 * with its planned output, so the cost is the number of its tokens times its output tokens.
 */
final class FairQueue {
  private static final Comparator<QueuedRequest> BY_START_TAG =
      Comparator.<QueuedRequest>comparingDouble(q -> q.startTag)
          .thenComparingLong(q -> q.arrivalOrder);

  private final Map<AttemptId, QueuedRequest> byAttempt = new HashMap<>();
  private final TreeSet<QueuedRequest> byStartTag = new TreeSet<>(BY_START_TAG);

  /** Finish tag of the newest request of each workspace: its start tag plus cost over weight. */
  private final Map<WorkspaceId, Double> lastFinishTag = new HashMap<>();

  /** The largest start tag of a granted request. */
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
   * @param weight weight of the workspace of the request, greater than 0
   */
  void add(ReservationRequest request, double weight) {
    WorkspaceId workspace = request.workspace();
    double start = Math.max(virtualTime, lastFinishTag.getOrDefault(workspace, 0.0));
    lastFinishTag.put(workspace, start + cost(request) / weight);
    QueuedRequest queued = new QueuedRequest(request, start, arrivalCount++);
    byAttempt.put(request.attempt(), queued);
    byStartTag.add(queued);
    totalPromptTokens += request.promptTokens();
  }

  private static double cost(ReservationRequest request) {
    double tokens = (double) request.promptTokens() + request.maxOutputTokens();
    return Math.max(1, tokens) * Math.max(1, request.maxOutputTokens());
  }

  /** Returns the next requests in service order, at most {@code count}. */
  List<ReservationRequest> nextRequests(int count) {
    List<ReservationRequest> result = new ArrayList<>(count);
    for (QueuedRequest queued : byStartTag) {
      if (result.size() == count) {
        break;
      }
      result.add(queued.request);
    }
    return result;
  }

  /**
   * Removes a request that was granted and advances the virtual time to its start tag. Resets the
   * tags if the queue is then empty.
   */
  void removeServed(AttemptId attempt) {
    QueuedRequest queued = remove(attempt);
    if (queued != null) {
      virtualTime = Math.max(virtualTime, queued.startTag);
    }
    if (byStartTag.isEmpty()) {
      // An empty queue has no backlog to share, and inactive workspaces must not stay in the map.
      lastFinishTag.clear();
      virtualTime = 0;
    }
  }

  /** Removes and returns a request; returns null if it is not in the queue. */
  @Nullable QueuedRequest remove(AttemptId attempt) {
    QueuedRequest queued = byAttempt.remove(attempt);
    if (queued != null) {
      byStartTag.remove(queued);
      totalPromptTokens -= queued.request.promptTokens();
    }
    return queued;
  }

  boolean contains(AttemptId attempt) {
    return byAttempt.containsKey(attempt);
  }

  int size() {
    return byStartTag.size();
  }

  /** Returns the requests to be served before a new request of a workspace. */
  AdmissionQueue.Backlog aheadOf(WorkspaceId workspace) {
    double start = Math.max(virtualTime, lastFinishTag.getOrDefault(workspace, 0.0));
    int requests = 0;
    long tokens = 0;
    for (QueuedRequest queued : byStartTag) {
      if (queued.startTag > start) {
        break;
      }
      requests++;
      tokens += queued.request.promptTokens();
    }
    return new AdmissionQueue.Backlog(requests, tokens);
  }

  /** Returns the number and the prompt tokens of all requests in the queue. */
  AdmissionQueue.Backlog all() {
    return new AdmissionQueue.Backlog(size(), totalPromptTokens);
  }

  /** Returns all requests in service order. */
  List<ReservationRequest> allRequests() {
    List<ReservationRequest> result = new ArrayList<>(byStartTag.size());
    byStartTag.forEach(q -> result.add(q.request));
    return result;
  }
}
