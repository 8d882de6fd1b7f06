package org.mustardlatch.daemon.routing;

import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.routing.KvHandle;
import org.mustardlatch.core.routing.ReportedAttempt;

/**
 * Executes the engine commands of the routing policy. No method blocks; results are posted as
 * routing events.
 */
public interface EngineCommandExecutor {
  /** Starts the prefill of an attempt on an upstream. */
  void startPrefill(GenerationExchange exchange, AttemptId attempt, UpstreamId upstream);

  /** Starts the decode of an attempt on an upstream, from the KV cache that the handle names. */
  void startDecode(
      GenerationExchange exchange, AttemptId attempt, UpstreamId upstream, KvHandle handle);

  /**
   * Cancels an attempt of this node; repeated until the engine acknowledges the cancellation or a
   * time limit has passed.
   */
  void cancel(AttemptId attempt, UpstreamId upstream);

  /**
   * Cancels an attempt that a dead or removed node left on an engine; repeated until the engine
   * acknowledges the cancellation or a time limit has passed.
   */
  void cancelOrphaned(ReportedAttempt orphan, UpstreamId upstream);

  /** Frees the retained KV cache on its prefill engine. */
  void releaseKv(KvHandle handle);
}
