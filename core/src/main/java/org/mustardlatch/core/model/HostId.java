package org.mustardlatch.core.model;

/**
 * Name of a machine that runs a daemon or an upstream.
 *
 * @param value 1 to 63 characters of lower-case letters, digits, dot, underscore and hyphen
 */
public record HostId(String value) implements Comparable<HostId> {
  /** Checks the value; throws {@link IllegalArgumentException} when it is not a valid name. */
  public HostId {
    Identifiers.checkName("host", value);
  }

  @Override
  public int compareTo(HostId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
