package org.mustardlatch.daemon.routing;

import java.time.Duration;
import org.mustardlatch.core.error.ErrorCode;

/** What the caller of a request gets next. */
public sealed interface SinkEvent {
  /** A piece of the answer. */
  record ChunkAppended(Chunk chunk) implements SinkEvent {}

  /** The end of a complete answer. */
  record Completed() implements SinkEvent {}

  /**
   * The end without a complete answer.
   *
   * @param retryAfter when to come back; zero when coming back is of no use
   */
  record Failed(ErrorCode code, String detail, Duration retryAfter) implements SinkEvent {}
}
