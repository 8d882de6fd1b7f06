package org.mustardlatch.daemon.routing;

import java.time.Duration;
import org.mustardlatch.core.error.ErrorCode;

/** An event that a {@link ResponseSink} passes on for the response to the caller. */
public sealed interface SinkEvent {
  /** A chunk of output was appended. */
  record ChunkAppended(Chunk chunk) implements SinkEvent {}

  /** The response is complete. */
  record Completed() implements SinkEvent {}

  /**
   * The request ended with an error, without a complete response.
   *
   * @param code error code for the caller
   * @param detail error text for the caller
   * @param retryAfter time after which the caller may retry; zero when a retry is of no use
   */
  record Failed(ErrorCode code, String detail, Duration retryAfter) implements SinkEvent {}
}
