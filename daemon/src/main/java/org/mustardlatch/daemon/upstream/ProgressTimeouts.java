package org.mustardlatch.daemon.upstream;

import java.time.Duration;
import org.mustardlatch.core.manifest.Model;

/**
 * How long an engine may take until its next sign of progress.
 *
 * @param firstToken until headers and until the first token
 * @param tokenGap between tokens
 */
record ProgressTimeouts(Duration firstToken, Duration tokenGap) {
  /** Times the latency target; a straggler of that size is of no use to the caller. */
  private static final int TARGET_MULTIPLIER = 10;

  /** Shorter limits would take a garbage collection of the engine for a stall. */
  private static final Duration MIN_TIMEOUT = Duration.ofSeconds(2);

  /** For a model that the manifest in force no longer has. */
  static final ProgressTimeouts DEFAULT =
      new ProgressTimeouts(Duration.ofSeconds(10), Duration.ofSeconds(2));

  static ProgressTimeouts forModel(Model model) {
    return new ProgressTimeouts(timeoutFor(model.firstTokenTarget()), timeoutFor(model.tokenGapTarget()));
  }

  private static Duration timeoutFor(Duration target) {
    Duration limit = target.multipliedBy(TARGET_MULTIPLIER);
    return limit.compareTo(MIN_TIMEOUT) < 0 ? MIN_TIMEOUT : limit;
  }
}
