package org.mustardlatch.daemon.caller;

import java.time.Duration;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.daemon.node.NodeState;

/** Refuses requests before the node is ready and after it stopped taking new ones. */
final class ReadinessCheck {
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final NodeState state;

  ReadinessCheck(NodeState state) {
    this.state = state;
  }

  /**
   * Does nothing when requests are taken.
   *
   * @throws RefusedException with {@link ErrorCode#NOT_READY} or {@link ErrorCode#DRAINING}
   */
  void requireAccepting() {
    switch (state.phase()) {
      case READY, DRAINING -> {}
      case STARTING ->
          throw new RefusedException(
              ErrorCode.NOT_READY, "not run: this node is starting", RETRY_AFTER);
      case REFUSING, STOPPED ->
          throw new RefusedException(
              ErrorCode.DRAINING, "not run: this node is stopping", RETRY_AFTER);
    }
  }
}
