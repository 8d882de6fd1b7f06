package org.mustardlatch.core.model;

/**
 * Name of a back end: a model engine or an application service.
 *
 * @param value 1 to 63 characters of lower-case letters, digits, dot, underscore and hyphen
 */
public record UpstreamId(String value) implements Comparable<UpstreamId> {
  /** Checks the value; throws {@link IllegalArgumentException} when it is not a valid name. */
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
