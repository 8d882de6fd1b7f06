package org.mustardlatch.daemon.upstream;

import java.time.Duration;
import org.mustardlatch.core.manifest.Model;

/**
 * How long an engine may take until its next sign of progress.
 *
 * @param firstToken until headers and until the first token
 * @param gap between tokens
 */
record ProgressLimits(Duration firstToken, Duration gap) {
  /** Times the latency target; a straggler of that size is of no use to the caller. */
  private static final int TIMES_TARGET = 10;

  /** Shorter limits would take a garbage collection of the engine for a stall. */
  private static final Duration AT_LEAST = Duration.ofSeconds(2);

  /** For a model that the manifest in force no longer has. */
  static final ProgressLimits DEFAULT =
      new ProgressLimits(Duration.ofSeconds(10), Duration.ofSeconds(2));

  static ProgressLimits of(Model model) {
    return new ProgressLimits(limit(model.firstTokenTarget()), limit(model.tokenGapTarget()));
  }

  private static Duration limit(Duration target) {
    Duration limit = target.multipliedBy(TIMES_TARGET);
    return limit.compareTo(AT_LEAST) < 0 ? AT_LEAST : limit;
  }
}
