package org.mustardlatch.core.orders;

import java.util.List;
import org.mustardlatch.core.model.UpstreamId;

/** Events that an {@link OrderManager} handles. */
public sealed interface OrderManagerEvent {
  /**
   * A manifest became active.
   *
   * @param maxConcurrentLoads maximum number of weight loads in progress at once
   * @param revision revision of the manifest
   */
  record DesiredStatesChanged(
      List<DesiredEngineState> desiredStates, int maxConcurrentLoads, long revision)
      implements OrderManagerEvent {
    /** Copies the list of desired states. */
    public DesiredStatesChanged {
      desiredStates = List.copyOf(desiredStates);
    }
  }

  /** An event for the {@link OrderLease} occurred. */
  record LeaseEventReceived(LeaseEvent event) implements OrderManagerEvent {}

  /** The state of an engine was read. */
  record EngineRead(ReportedEngineState state) implements OrderManagerEvent {}

  /** The state of an engine could not be read. */
  record EngineReadFailed(UpstreamId engine) implements OrderManagerEvent {}

  /** An order completed or timed out. In both cases its effect is read back. */
  record OrderEnded(UpstreamId engine) implements OrderManagerEvent {}

  /** All engines must be read again, for example periodically. */
  record RefreshRequested() implements OrderManagerEvent {}
}
