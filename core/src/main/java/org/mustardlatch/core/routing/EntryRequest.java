package org.mustardlatch.core.routing;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.UpstreamId;

/** A request of a caller at its entry node, until its final answer. */
final class EntryRequest {
  final GenerationRequest request;
  final long arrivedNanos;

  /** Upstreams that failed this request. */
  final Set<UpstreamId> excludedUpstreams = new LinkedHashSet<>();

  /** Cells that refused it since the last attempt that was granted. */
  final Set<String> refusedCells = new HashSet<>();

  @Nullable Attempt current;
  @Nullable Attempt hedge;

  /** Whether it waits for the permission to run as a suspect. */
  boolean awaitsPermission;

  /** Whether the permission to run as a suspect was given. */
  boolean suspectRunPermitted;

  int permissionRequests;
  boolean ranAsSuspect;
  boolean secondPrefillRequested;
  boolean remoteCellContacted;

  /** Bytes taken from the cross-region budget for an ask that is not granted yet. */
  double acquiredCrossRegionBytes;

  int tokensSent;

  /** Engines that may have begun to generate the answer. */
  int generationRuns;

  /** Engines that had no room for a reservation. */
  int engineRefusals;

  private int attemptCount;

  EntryRequest(GenerationRequest request, long arrivedNanos) {
    this.request = request;
    this.arrivedNanos = arrivedNanos;
  }

  AttemptId nextAttempt() {
    attemptCount++;
    return new AttemptId(request.id(), attemptCount);
  }

  int attemptCount() {
    return attemptCount;
  }

  /** Returns the live attempt with this name, or null for one that ended or lost. */
  @Nullable Attempt findLiveAttempt(AttemptId id) {
    if (current != null && current.id.equals(id)) {
      return current;
    }
    return hedge != null && hedge.id.equals(id) ? hedge : null;
  }

  int promptTokens() {
    return request.promptTokens() + tokensSent;
  }

  /** Returns whether one more engine may generate the answer. */
  boolean mayGenerateAgain() {
    return request.resumable() && generationRuns < request.maxRuns();
  }

  /** Returns the tokens of the answer that memory is still planned for. */
  int plannedTokens() {
    return Math.max(0, request.plannedOutputTokens() - tokensSent);
  }

  int remainingTokens() {
    return Math.max(0, request.maxOutputTokens() - tokensSent);
  }

  /** Forgets an attempt; the other one, if there is one, becomes the current one. */
  void removeAttempt(Attempt a) {
    if (a == current) {
      current = hedge;
    }
    hedge = null;
  }

  /** Returns the attempts in progress, the current one first. */
  List<Attempt> liveAttempts() {
    Attempt a = current;
    Attempt b = hedge;
    if (a == null) {
      return b == null ? List.of() : List.of(b);
    }
    return b == null ? List.of(a) : List.of(a, b);
  }

  String stageName() {
    return current == null ? "no attempt" : current.state.toString();
  }
}
