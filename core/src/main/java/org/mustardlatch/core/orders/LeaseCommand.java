package org.mustardlatch.core.orders;

/** What an {@link OrderLease} asks for. At most one read or write is in progress at a time. */
public sealed interface LeaseCommand {
  /** Read the lease object. */
  record Read() implements LeaseCommand {}

  /** Update the lease object on condition of this version; 0 means that it must not exist. */
  record Write(long version, String holder) implements LeaseCommand {}

  /** Send {@code Woken} at this monotonic time; replaces an earlier one. */
  record WakeAt(long atNanos) implements LeaseCommand {}

  /** This node holds the lease and did not before: it must read the engines back first. */
  record Acquired() implements LeaseCommand {}
}
