package org.mustardlatch.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.AttemptId;

/**
 * The requests that wait for capacity of one cell, in the order in which they get it. This order
 * answers demand above the capacity:
 *
 * <ol>
 *   <li>Requests that can still be on time go before those that cannot. A late request is offered
 *       capacity only while no request waits that can be on time.
 *   <li>A rank whose recent grants are below its guaranteed share (see {@link GrantShares}) goes
 *       first with one request; otherwise the most urgent rank goes first.
 *   <li>Within a rank, workspaces share by cost (see {@link FairQueue}), so that a workspace that
 *       sends many times its usual load delays mainly itself.
 * </ol>
 *
 * <p>Each step takes time in the number of waiting requests of one rank at most; ranks are ten.
 */
final class AdmissionQueue {
  // If a fraction f of all requests is served, each rank is promised f/4. A higher share leaves
  // room for requests that fail after their grant.
  private static final double GUARANTEED_SHARE = 0.3;

  private final NavigableMap<Integer, FairQueue> onTime = new TreeMap<>();
  private final NavigableMap<Integer, FairQueue> late = new TreeMap<>();
  private final Map<AttemptId, FairQueue> queueOf = new HashMap<>();
  private final GrantShares shares =
      new GrantShares(GenerationRequest.LEAST_URGENT_RANK + 1, GUARANTEED_SHARE);
  private int lateCount;

  /** Counts a new request of a rank, whether or not it will wait. */
  void recordArrival(ReservationRequest request, long now) {
    shares.recordArrival(request.rank(), now);
  }

  /** Counts a granted request of a rank. */
  void recordGrant(ReservationRequest request) {
    shares.recordGrant(request.rank());
  }

  /**
   * Adds a request that can be on time.
   *
   * @param weight weight of the workspace of the request, greater than 0
   */
  void add(ReservationRequest request, double weight) {
    add(onTime, request, weight);
  }

  /** Adds a request that cannot be on time. */
  void addLate(ReservationRequest request, double weight) {
    add(late, request, weight);
    lateCount++;
  }

  private void add(Map<Integer, FairQueue> ranks, ReservationRequest request, double weight) {
    FairQueue q = ranks.computeIfAbsent(request.rank(), r -> new FairQueue());
    q.add(request, weight);
    queueOf.put(request.attempt(), q);
  }

  /**
   * Returns the next requests in service order, at most {@code count}. Late requests are returned
   * only if none that can be on time is waiting.
   */
  List<ReservationRequest> nextRequests(int count) {
    NavigableMap<Integer, FairQueue> ranks = onTimeCount() > 0 ? onTime : late;
    List<ReservationRequest> result = new ArrayList<>(count);
    ReservationRequest guaranteed = nextGuaranteed(ranks);
    if (guaranteed != null) {
      result.add(guaranteed);
    }
    for (FairQueue q : ranks.values()) {
      for (ReservationRequest r : q.nextRequests(count)) {
        if (result.size() < count && !r.equals(guaranteed)) {
          result.add(r);
        }
      }
    }
    return result;
  }

  /** Returns the first request of a rank below its guaranteed share, or null. */
  private @Nullable ReservationRequest nextGuaranteed(NavigableMap<Integer, FairQueue> ranks) {
    for (Map.Entry<Integer, FairQueue> e : ranks.entrySet()) {
      if (e.getValue().size() > 0 && shares.isBelowGuarantee(e.getKey())) {
        return e.getValue().nextRequests(1).getFirst();
      }
    }
    return null;
  }

  /** Removes a request that was granted. */
  void removeServed(AttemptId attempt) {
    FairQueue q = forget(attempt);
    if (q != null) {
      q.removeServed(attempt);
    }
  }

  /** Removes a request without service; returns whether it was in the queue. */
  boolean remove(AttemptId attempt) {
    FairQueue q = forget(attempt);
    return q != null && q.remove(attempt) != null;
  }

  private @Nullable FairQueue forget(AttemptId attempt) {
    boolean wasLate = isLate(attempt);
    FairQueue q = queueOf.remove(attempt);
    lateCount -= wasLate ? 1 : 0;
    return q;
  }

  boolean contains(AttemptId attempt) {
    return queueOf.containsKey(attempt);
  }

  /** Returns whether a request waits among those that cannot be on time. */
  boolean isLate(AttemptId attempt) {
    FairQueue q = queueOf.get(attempt);
    return q != null && late.containsValue(q);
  }

  int size() {
    return queueOf.size();
  }

  /** Returns the number of waiting requests that can be on time. */
  int onTimeCount() {
    return queueOf.size() - lateCount;
  }

  /** Returns the work that is served before a new request if that request can be on time. */
  Backlog aheadOf(ReservationRequest request) {
    FairQueue own = onTime.get(request.rank());
    Backlog backlog = own == null ? Backlog.NONE : own.aheadOf(request.workspace());
    if (backlog.requests() == 0 && shares.isBelowGuarantee(request.rank())) {
      return backlog;
    }
    for (FairQueue q : onTime.headMap(request.rank()).values()) {
      backlog = backlog.plus(q.all());
    }
    return backlog;
  }

  /** Returns the work that is served before a new request if that request cannot be on time. */
  Backlog aheadOfLate(ReservationRequest request) {
    FairQueue own = late.get(request.rank());
    Backlog backlog = own == null ? Backlog.NONE : own.aheadOf(request.workspace());
    for (FairQueue q : late.headMap(request.rank()).values()) {
      backlog = backlog.plus(q.all());
    }
    for (FairQueue q : onTime.values()) {
      backlog = backlog.plus(q.all());
    }
    return backlog;
  }

  /** Returns the work of all waiting requests. */
  Backlog all() {
    Backlog backlog = Backlog.NONE;
    for (FairQueue q : onTime.values()) {
      backlog = backlog.plus(q.all());
    }
    for (FairQueue q : late.values()) {
      backlog = backlog.plus(q.all());
    }
    return backlog;
  }

  /** Returns all requests, those that can be on time first. */
  List<ReservationRequest> allRequests() {
    List<ReservationRequest> result = new ArrayList<>(size());
    onTime.values().forEach(q -> result.addAll(q.allRequests()));
    late.values().forEach(q -> result.addAll(q.allRequests()));
    return result;
  }

  /**
   * A number of requests and their work.
   *
   * @param promptTokens prompt tokens of all of them
   */
  record Backlog(int requests, long promptTokens) {
    static final Backlog NONE = new Backlog(0, 0);

    Backlog plus(Backlog other) {
      return new Backlog(requests + other.requests, promptTokens + other.promptTokens);
    }
  }
}
