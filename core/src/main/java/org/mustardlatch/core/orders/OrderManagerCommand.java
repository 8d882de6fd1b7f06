package org.mustardlatch.core.orders;

import org.mustardlatch.core.model.UpstreamId;

/** Commands that an {@link OrderManager} emits. */
public sealed interface OrderManagerCommand {
  /** Execute a command of the lease. */
  record ExecuteLeaseCommand(LeaseCommand command) implements OrderManagerCommand {}

  /** Read the current state of an engine. */
  record ReadEngine(UpstreamId engine) implements OrderManagerCommand {}

  /** Send an order immediately, with {@link LeaseTimes#sendTimeout} as its timeout. */
  record SendOrder(EngineOrder order, long fencingToken) implements OrderManagerCommand {}
}
