package org.mustardlatch.core.model;

/**
 * SHA-256 of the content of a generation request (model, prompt, sampling parameters) without
 * request ids; the same content has the same fingerprint on every node.
 *
 * @param value 64 lower-case hexadecimal digits
 */
public record Fingerprint(String value) {
  /** Checks the value; throws {@link IllegalArgumentException} when it is not a digest. */
  public Fingerprint {
    if (!value.matches("[0-9a-f]{64}")) {
      throw new IllegalArgumentException("a fingerprint has 64 hexadecimal digits, got " + value);
    }
  }

  @Override
  public String toString() {
    return value;
  }
}
