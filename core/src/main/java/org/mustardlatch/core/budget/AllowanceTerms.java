package org.mustardlatch.core.budget;

import java.time.Duration;

/**
 * The terms on which the owners of an allowance, and nodes that reach none of them, grant units of
 * it. {@link AllowanceOwner} says how they keep the bound together.
 */
public final class AllowanceTerms {
  /** Time for which leased units may be spent before they are returned to their owner. */
  public static final Duration LEASE_TIME = Duration.ofMillis(200);

  /** Longest time that a request waits for units. */
  public static final Duration MAX_WAIT = Duration.ofMillis(300);

  // Units may be leased before a window begins and spent in it, and a request that is sent at the
  // end of a window may get its units after it.
  private static final Duration LEASE_ERROR_TIME = LEASE_TIME.plus(MAX_WAIT);

  // An allowance without a burst accumulates units for the time between two requests for leases.
  private static final double MIN_CAPACITY_SECONDS = 0.25;

  // Half of a bucket must hold several requests; smaller ones have one owner.
  private static final double MIN_REQUESTS_FOR_TWO_OWNERS = 8;

  // The parts of the reserve: for nodes that see only a part of the fleet, for larger buckets, for
  // nodes that reach no owner, and for the first units of up to four new owners within a window.
  private static final double PARTITION_PART = 0.2;
  private static final double BURST_PART = 0.5;
  private static final double UNREACHED_PART = 0.06;
  private static final double NEW_OWNER_PART = 0.06;

  private final Allowance allowance;
  private final QuotaBounds bounds;
  private final double reserve;

  /** Creates the terms of an allowance. */
  public AllowanceTerms(Allowance allowance, QuotaBounds bounds) {
    this.allowance = allowance;
    this.bounds = bounds;
    this.reserve = bounds.reserve(allowance, LEASE_ERROR_TIME);
  }

  /** Returns the number of nodes that grant units at the same time: 2, or 1 for few requests. */
  public int ownerCount() {
    return allowance.unit() == Allowance.Unit.REQUESTS
            && allowance.burst() < MIN_REQUESTS_FOR_TWO_OWNERS
        ? 1
        : 2;
  }

  /**
   * Returns the units that an idle bucket of one owner accumulates. Part of the reserve makes
   * buckets larger: a request that costs more than half of the burst need not wait for a full one,
   * and one owner lasts longer after the death of the other one.
   *
   * @param visibleShare part of the fleet's nodes that the owner sees, 0 to 1
   */
  public double ownerCapacity(double visibleShare) {
    double minimum = Math.max(1, MIN_CAPACITY_SECONDS * allowance.perSecond());
    double units = Math.max(minimum, allowance.burst() + BURST_PART * reserve);
    return grantedShare(visibleShare) * units / ownerCount();
  }

  /**
   * Returns the units per second that one owner grants.
   *
   * @param visibleShare part of the fleet's nodes that the owner sees, 0 to 1
   */
  double ownerPerSecond(double visibleShare) {
    return grantedShare(visibleShare) * allowance.perSecond() / ownerCount();
  }

  /** Returns the part of the allowance that the owners grant who see a part of the fleet. */
  private double grantedShare(double visibleShare) {
    double extra = PARTITION_PART * reserve / bounds.windowUnits(allowance);
    return Math.min(1, visibleShare * (1 + extra));
  }

  /** Returns the units of a new owner's bucket; earlier owners may just have granted theirs. */
  double newOwnerUnits() {
    return Math.min(ownerCapacity(1), NEW_OWNER_PART * reserve);
  }

  /**
   * Returns the bucket from which a node that does not reach an owner grants to itself.
   *
   * @param nodes number of nodes of the fleet, at least 1
   * @param now monotonic time, nanoseconds
   */
  public AllowanceBucket unreachedBucket(int nodes, long now) {
    // A window may get what the bucket held before it and what it accumulates in the window.
    double units = UNREACHED_PART * reserve / 2 / nodes;
    double perSecond = units / (bounds.window().toNanos() / 1e9);
    return new AllowanceBucket(units, units, Math.min(allowance.perSecond(), perSecond), now);
  }

  /**
   * Returns the longest time for which a node that got no units does not request some again,
   * nanoseconds: short against the time in which a bucket fills.
   */
  public long maxQuietNanos() {
    double fillSeconds = ownerCapacity(1) * ownerCount() / allowance.perSecond();
    return (long) (1e9 * Math.clamp(fillSeconds / 8, 0.02, 0.5));
  }
}
