package org.mustardlatch.core.orders;

/**
 * Commands that an {@link OrderLease} emits. At most one read or write is in progress at a time.
 */
public sealed interface LeaseCommand {
  /** Read the lease object. */
  record Read() implements LeaseCommand {}

  /** Update the lease object on condition that it has this version; 0 if it must not exist. */
  record Write(long version, String holder) implements LeaseCommand {}

  /** Send {@code TimerFired} at the given monotonic time; replaces an earlier timer. */
  record SetTimer(long atNanos) implements LeaseCommand {}

  /** This node acquired the lease. It must read the engines before it sends orders. */
  record Acquired() implements LeaseCommand {}
}
