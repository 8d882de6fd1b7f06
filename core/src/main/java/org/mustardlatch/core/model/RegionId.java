package org.mustardlatch.core.model;

/**
 * Name of a region, a group of availability zones with low network latency between them.
 *
 * @param value 1 to 63 characters: lower-case letters, digits, dots, underscores and hyphens; the
 *     first is a letter or a digit
 */
public record RegionId(String value) implements Comparable<RegionId> {
  /** Throws {@link IllegalArgumentException} if the value is not a valid name. */
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
