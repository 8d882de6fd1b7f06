package org.mustardlatch.daemon.upstream;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.UpstreamId;

/** The engine calls of this node that are in progress. Safe for use by several threads. */
final class ActiveCalls {
  private final Set<EngineCall> calls = ConcurrentHashMap.newKeySet();

  void add(EngineCall call) {
    calls.add(call);
  }

  void remove(EngineCall call) {
    calls.remove(call);
  }

  /** Cancels the calls of an attempt on an upstream; they post no further events. */
  void cancel(AttemptId attempt, UpstreamId upstream) {
    calls.stream()
        .filter(c -> c.attempt().equals(attempt) && c.host().id().equals(upstream))
        .forEach(EngineCall::cancel);
  }

  /** Returns whether a call of an attempt is in progress and was not cancelled. */
  boolean contains(AttemptId attempt) {
    return calls.stream().anyMatch(c -> c.attempt().equals(attempt) && !c.isCancelled());
  }

  int size() {
    return calls.size();
  }
}
