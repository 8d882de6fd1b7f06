package org.mustardlatch.core.orders;

/**
 * Commands that an {@link OrderLease} emits. At most one read or write is in progress at a time.
 */
public sealed interface LeaseCommand {
  /** Read the lease object; the result is {@code ReadFinished} or {@code ReadFailed}. */
  record Read() implements LeaseCommand {}

  /**
   * Update the lease object; the result is {@code WriteStored} or {@code WriteFailed}.
   *
   * @param version version that the object must still have; 0 if it must not exist
   * @param holder nonce of this process, to be stored in the object
   */
  record Write(long version, String holder) implements LeaseCommand {}

  /** Send {@code TimerFired} at the given monotonic time; replaces an earlier timer. */
  record SetTimer(long atNanos) implements LeaseCommand {}

  /** This node acquired the lease. It must read the engines before it sends orders. */
  record Acquired() implements LeaseCommand {}
}
