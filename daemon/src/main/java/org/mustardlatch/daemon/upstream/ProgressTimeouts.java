package org.mustardlatch.daemon.upstream;

import java.time.Duration;
import org.mustardlatch.core.manifest.Model;

/**
 * The times an engine call may take until its next progress.
 *
 * @param firstToken from the start of the call to the response headers, and from there to the first
 *     token
 * @param tokenGap between two events of the stream
 */
record ProgressTimeouts(Duration firstToken, Duration tokenGap) {
  /**
   * Multiple of the model's latency target; a response that slow is of no use to the caller any
   * more.
   */
  private static final int TARGET_MULTIPLIER = 10;

  /**
   * Lower bound; a shorter timeout would mistake a garbage collection of the engine for a stall.
   */
  private static final Duration MIN_TIMEOUT = Duration.ofSeconds(2);

  /** Timeouts for a model that the active manifest no longer contains. */
  static final ProgressTimeouts DEFAULT =
      new ProgressTimeouts(Duration.ofSeconds(10), Duration.ofSeconds(2));

  /** Derives the timeouts from the latency targets of a model. */
  static ProgressTimeouts forModel(Model model) {
    return new ProgressTimeouts(
        timeoutFor(model.firstTokenTarget()), timeoutFor(model.tokenGapTarget()));
  }

  private static Duration timeoutFor(Duration target) {
    Duration timeout = target.multipliedBy(TARGET_MULTIPLIER);
    return timeout.compareTo(MIN_TIMEOUT) < 0 ? MIN_TIMEOUT : timeout;
  }
}
