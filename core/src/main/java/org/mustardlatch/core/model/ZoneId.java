package org.mustardlatch.core.model;

/**
 * Name of an availability zone.
 *
 * @param value 1 to 63 characters of lower-case letters, digits, dot, underscore and hyphen
 */
public record ZoneId(String value) implements Comparable<ZoneId> {
  /** Checks the value; throws {@link IllegalArgumentException} when it is not a valid name. */
  public ZoneId {
    Identifiers.checkName("zone", value);
  }

  @Override
  public int compareTo(ZoneId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
