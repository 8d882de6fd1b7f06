package org.mustardlatch.core.orders;

import java.util.List;
import org.mustardlatch.core.model.UpstreamId;

/** What an {@link OrderDesk} reacts to. */
public sealed interface DeskEvent {
  /**
   * A manifest is in force.
   *
   * @param maxLoads weight loads that may be in progress at once
   */
  record GoalsChanged(List<EngineGoal> goals, int maxLoads, long revision) implements DeskEvent {
    /** Copies the list. */
    public GoalsChanged {
      goals = List.copyOf(goals);
    }
  }

  /** Something happened to the lease. */
  record OfLease(LeaseEvent event) implements DeskEvent {}

  /** An engine was read. */
  record EngineRead(EngineView view) implements DeskEvent {}

  /** An engine could not be read. */
  record EngineReadFailed(UpstreamId engine) implements DeskEvent {}

  /** An order was answered or timed out; its effect is read back in every case. */
  record OrderEnded(UpstreamId engine) implements DeskEvent {}

  /** It is time to read all engines again. */
  record ReadAgain() implements DeskEvent {}
}
