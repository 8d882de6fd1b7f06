package org.mustardlatch.core.orders;

import org.mustardlatch.core.model.UpstreamId;

/** What an {@link OrderDesk} asks for. */
public sealed interface DeskCommand {
  /** Something for the lease object. */
  record OfLease(LeaseCommand command) implements DeskCommand {}

  /** Read what the engine has now. */
  record ReadEngine(UpstreamId engine) implements DeskCommand {}

  /** Send the order at once, with the send timeout of the lease times. */
  record Send(EngineOrder order, long fencingToken) implements DeskCommand {}
}
