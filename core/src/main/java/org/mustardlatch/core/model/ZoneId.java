package org.mustardlatch.core.model;

/**
 * Name of an availability zone.
 *
 * @param value 1 to 63 characters: lower-case letters, digits, dots, underscores and hyphens; the
 *     first is a letter or a digit
 */
public record ZoneId(String value) implements Comparable<ZoneId> {
  /** Throws {@link IllegalArgumentException} if the value is not a valid name. */
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
