package org.mustardlatch.core.model;

/**
 * Name of a model that callers ask for.
 *
 * @param value 1 to 63 characters of lower-case letters, digits, dot, underscore and hyphen
 */
public record ModelId(String value) implements Comparable<ModelId> {
  /** Checks the value; throws {@link IllegalArgumentException} when it is not a valid name. */
  public ModelId {
    Identifiers.checkName("model", value);
  }

  @Override
  public int compareTo(ModelId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
