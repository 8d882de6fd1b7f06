package org.mustardlatch.core.model;

/**
 * Identifier of a caller's request, unique within the fleet.
 *
 * @param value 1 to 63 characters: lower-case letters, digits, dots, underscores and hyphens; the
 *     first is a letter or a digit
 */
public record RequestId(String value) implements Comparable<RequestId> {
  /** Throws {@link IllegalArgumentException} if the value is not a valid name. */
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
