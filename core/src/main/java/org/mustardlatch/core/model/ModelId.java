package org.mustardlatch.core.model;

/**
 * Name of a language model, as callers specify it in requests.
 *
 * @param value 1 to 63 characters: lower-case letters, digits, dots, underscores and hyphens; the
 *     first is a letter or a digit
 */
public record ModelId(String value) implements Comparable<ModelId> {
  /** Throws {@link IllegalArgumentException} if the value is not a valid name. */
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
