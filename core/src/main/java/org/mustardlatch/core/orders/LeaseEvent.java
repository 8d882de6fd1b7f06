package org.mustardlatch.core.orders;

/** What an {@link OrderLease} reacts to. */
public sealed interface LeaseEvent {
  /**
   * Whether this node should hold the lease, for example because it is first in rendezvous order.
   */
  record Wanted(boolean wanted) implements LeaseEvent {}

  /**
   * The lease object was read.
   *
   * @param version its version, 0 when it does not exist
   * @param holder the nonce of the term in it, empty when there is none
   */
  record ReadFinished(long version, String holder) implements LeaseEvent {}

  /** The lease object could not be read. */
  record ReadFailed() implements LeaseEvent {}

  /** The write was applied. */
  record WriteStored(long version) implements LeaseEvent {}

  /** The write was not applied, or may have been. */
  record WriteFailed() implements LeaseEvent {}

  /** The time of the last {@link LeaseCommand.WakeAt} has come. */
  record Woken() implements LeaseEvent {}
}
