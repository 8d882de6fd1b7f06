package org.mustardlatch.core.model;

/**
 * Name of an upstream: a model engine or an application service.
 *
 * @param value 1 to 63 characters: lower-case letters, digits, dots, underscores and hyphens; the
 *     first is a letter or a digit
 */
public record UpstreamId(String value) implements Comparable<UpstreamId> {
  /** Throws {@link IllegalArgumentException} if the value is not a valid name. */
  public UpstreamId {
    Identifiers.checkName("upstream", value);
  }

  @Override
  public int compareTo(UpstreamId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
