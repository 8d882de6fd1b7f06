package org.mustardlatch.core.model;

/**
 * Name of a region, a group of availability zones that are close to each other.
 *
 * @param value 1 to 63 characters of lower-case letters, digits, dot, underscore and hyphen
 */
public record RegionId(String value) implements Comparable<RegionId> {
  /** Checks the value; throws {@link IllegalArgumentException} when it is not a valid name. */
  public RegionId {
    Identifiers.checkName("region", value);
  }

  @Override
  public int compareTo(RegionId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
