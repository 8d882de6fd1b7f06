package org.mustardlatch.core.routing;

import java.util.Arrays;

/**
 * Counts which part of the recent requests of each class was granted, and tells which classes are
 * below their guaranteed share. Classes are ranks or sizes of requests, numbered from 0.
 */
final class GrantShares {
  // Counts are halved at this interval, so that about the last 20 s count.
  private static final long HALVING_NANOS = 10_000_000_000L;

  private final double guaranteedShare;
  private final double[] arrivals;
  private final double[] grants;
  private long lastHalvedNanos = Long.MIN_VALUE;

  /**
   * Creates shares without requests.
   *
   * @param classes number of classes
   * @param guaranteedShare if a fraction {@code f} of all requests is granted, each class is
   *     guaranteed this multiple of {@code f}
   */
  GrantShares(int classes, double guaranteedShare) {
    this.guaranteedShare = guaranteedShare;
    this.arrivals = new double[classes];
    this.grants = new double[classes];
  }

  void recordArrival(int requestClass, long now) {
    halve(now);
    arrivals[index(requestClass)]++;
  }

  void recordGrant(int requestClass) {
    grants[index(requestClass)]++;
  }

  /** Returns whether fewer requests of a class were granted than its guaranteed share. */
  boolean isBelowGuarantee(int requestClass) {
    int i = index(requestClass);
    double allArrivals = Arrays.stream(arrivals).sum();
    double allGrants = Arrays.stream(grants).sum();
    return grants[i] * allArrivals < guaranteedShare * allGrants * arrivals[i];
  }

  private void halve(long now) {
    if (lastHalvedNanos == Long.MIN_VALUE) {
      lastHalvedNanos = now;
    }
    if (now - lastHalvedNanos >= HALVING_NANOS) {
      lastHalvedNanos = now;
      for (int i = 0; i < arrivals.length; i++) {
        arrivals[i] /= 2;
        grants[i] /= 2;
      }
    }
  }

  private int index(int requestClass) {
    return Math.clamp(requestClass, 0, arrivals.length - 1);
  }
}
