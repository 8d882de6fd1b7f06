package org.mustardlatch.core.model;

/**
 * Name of a host. It also identifies the node, the daemon or gateway process, on that host.
 *
 * @param value 1 to 63 characters: lower-case letters, digits, dots, underscores and hyphens; the
 *     first is a letter or a digit
 */
public record HostId(String value) implements Comparable<HostId> {
  /** Throws {@link IllegalArgumentException} if the value is not a valid name. */
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
