package org.mustardlatch.core.manifest;

/**
 * The link between the regions.
 *
 * @param bytesPerSecond capacity each way, bytes per second
 * @param budgetFraction share of the capacity that requests may use, 0 to 1
 */
public record CrossRegionLink(long bytesPerSecond, double budgetFraction) {}
