package org.mustardlatch.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.RequestId;

/** The requests of this node that have no final answer yet. */
final class RequestTable {
  private final Map<RequestId, EntryRequest> requests = new HashMap<>();

  /** A live attempt with its request. */
  record LiveAttempt(EntryRequest request, Attempt attempt) {}

  /** Adds a request; returns null when there is one with this name already. */
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

  /** Returns the request with this name, or null; any text may be given. */
  @Nullable EntryRequest findByIdText(String name) {
    try {
      return requests.get(new RequestId(name));
    } catch (IllegalArgumentException e) {
      // Engines may report names that are none of ours.
      return null;
    }
  }

  /** Returns the attempt if it is still live, or null for one that ended or lost. */
  @Nullable LiveAttempt findLiveAttempt(AttemptId id) {
    EntryRequest q = requests.get(id.request());
    Attempt a = q == null ? null : q.findLiveAttempt(id);
    return q == null || a == null ? null : new LiveAttempt(q, a);
  }

  /** Returns whether an attempt is live, by the name that engines know it by. */
  boolean hasLiveAttempt(String attempt) {
    int dot = attempt.lastIndexOf('.');
    EntryRequest q = dot <= 0 ? null : findByIdText(attempt.substring(0, dot));
    return q != null && q.liveAttempts().stream().anyMatch(a -> a.id.toString().equals(attempt));
  }

  /** Returns a copy that stays valid while requests end. */
  List<EntryRequest> snapshot() {
    return new ArrayList<>(requests.values());
  }

  int size() {
    return requests.size();
  }
}
