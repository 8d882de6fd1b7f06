package org.mustardlatch.daemon.caller;

import java.time.Duration;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.daemon.node.NodeState;

/** Refuses requests while the node is starting and once it no longer accepts new ones. */
final class ReadinessCheck {
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final NodeState state;

  ReadinessCheck(NodeState state) {
    this.state = state;
  }

  /**
   * Checks that the node accepts new requests. Unlike {@code /readyz} of the operator interface, it
   * accepts them also in phase {@code DRAINING}, until the load balancer has stopped sending them.
   *
   * @throws RefusedException with {@link ErrorCode#NOT_READY} while the node is starting, or with
   *     {@link ErrorCode#DRAINING} once it refuses new requests before its stop
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
