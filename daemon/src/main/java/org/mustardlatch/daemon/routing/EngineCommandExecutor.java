package org.mustardlatch.daemon.routing;

import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.routing.KvHandle;
import org.mustardlatch.core.routing.ReportedAttempt;

/**
 * Carries out what the routing policy wants from engines. No method blocks; results come back as
 * routing events.
 */
public interface EngineCommandExecutor {
  /** Starts a prefill. */
  void startPrefill(GenerationExchange exchange, AttemptId attempt, UpstreamId upstream);

  /** Starts a decode of a KV cache. */
  void startDecode(GenerationExchange exchange, AttemptId attempt, UpstreamId upstream, KvHandle handle);

  /** Cancels an attempt of this node until the engine acknowledges it. */
  void cancel(AttemptId attempt, UpstreamId upstream);

  /** Cancels an attempt of a node that is gone until the engine acknowledges it. */
  void cancelOrphaned(ReportedAttempt held, UpstreamId upstream);

  /** Frees a KV cache at its prefill engine. */
  void releaseKv(KvHandle handle);
}
