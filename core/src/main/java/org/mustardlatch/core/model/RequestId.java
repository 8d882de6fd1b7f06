package org.mustardlatch.core.model;

/**
 * Identifies one request of a caller; unique in the fleet.
 *
 * @param value 1 to 63 characters of lower-case letters, digits, dot, underscore and hyphen
 */
public record RequestId(String value) implements Comparable<RequestId> {
  /** Checks the value; throws {@link IllegalArgumentException} when it is not a valid name. */
  public RequestId {
    Identifiers.checkName("request", value);
  }

  @Override
  public int compareTo(RequestId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
