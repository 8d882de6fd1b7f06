package org.mustardlatch.core.orders;

/** Events that an {@link OrderLease} handles. */
public sealed interface LeaseEvent {
  /**
   * This node became or ceased to be a candidate for the lease, for example because it is the first
   * node in rendezvous order.
   */
  record CandidacyChanged(boolean candidate) implements LeaseEvent {}

  /**
   * The lease object was read.
   *
   * @param version version of the lease object; 0 if it does not exist
   * @param holder nonce of the process that wrote this version; empty if the object does not exist
   */
  record ReadFinished(long version, String holder) implements LeaseEvent {}

  /** The lease object could not be read. */
  record ReadFailed() implements LeaseEvent {}

  /** The write was applied and the lease object now has this version. */
  record WriteStored(long version) implements LeaseEvent {}

  /** The write was not applied, or its result is unknown. */
  record WriteFailed() implements LeaseEvent {}

  /** The timer of the last {@link LeaseCommand.SetTimer} fired. */
  record TimerFired() implements LeaseEvent {}
}
