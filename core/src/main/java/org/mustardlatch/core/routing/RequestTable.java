package org.mustardlatch.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.RequestId;

/** Requests of this node's callers that have no final response yet, by identifier. */
final class RequestTable {
  private final Map<RequestId, EntryRequest> requests = new HashMap<>();

  /** An attempt in progress with its request. */
  record LiveAttempt(EntryRequest request, Attempt attempt) {}

  /** Adds a request; returns null if there already is one with its identifier. */
  @Nullable EntryRequest add(GenerationRequest request, long now) {
    if (requests.containsKey(request.id())) {
      return null;
    }
    EntryRequest q = new EntryRequest(request, now);
    requests.put(request.id(), q);
    return q;
  }

  void remove(RequestId id) {
    requests.remove(id);
  }

  @Nullable EntryRequest get(RequestId id) {
    return requests.get(id);
  }

  /** Returns the request with this identifier, or null; the text need not be a valid identifier. */
  @Nullable EntryRequest findByIdText(String idText) {
    try {
      return requests.get(new RequestId(idText));
    } catch (IllegalArgumentException e) {
      // Engines may report identifiers that this router did not create.
      return null;
    }
  }

  /** Returns the attempt with its request if it is in progress, otherwise null. */
  @Nullable LiveAttempt find(AttemptId id) {
    EntryRequest q = requests.get(id.request());
    Attempt a = q == null ? null : q.find(id);
    return q == null || a == null ? null : new LiveAttempt(q, a);
  }

  /**
   * Returns whether an attempt is in progress.
   *
   * @param attempt identifier of the attempt as engines report it
   */
  boolean hasLiveAttempt(String attempt) {
    int dot = attempt.lastIndexOf('.');
    EntryRequest q = dot <= 0 ? null : findByIdText(attempt.substring(0, dot));
    return q != null && q.liveAttempts().stream().anyMatch(a -> a.id.toString().equals(attempt));
  }

  /** Returns a copy of the requests, so that requests may be removed during an iteration. */
  List<EntryRequest> snapshot() {
    return new ArrayList<>(requests.values());
  }

  int size() {
    return requests.size();
  }
}
