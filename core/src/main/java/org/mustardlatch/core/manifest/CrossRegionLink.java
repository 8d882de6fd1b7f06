package org.mustardlatch.core.manifest;

/**
 * The network link between the regions.
 *
 * @param bytesPerSecond capacity in each direction, bytes per second
 * @param budgetFraction share of the capacity that cross-region routing may use, 0 to 1
 */
public record CrossRegionLink(long bytesPerSecond, double budgetFraction) {}
