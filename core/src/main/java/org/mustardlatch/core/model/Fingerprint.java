package org.mustardlatch.core.model;

/**
 * SHA-256 digest of the content of a generation request, without the request id. A daemon computes
 * it from the model, the prompt and the sampling parameters, a gateway from the request target and
 * the body. Requests with the same content have the same fingerprint on every node.
 *
 * @param value 64 lower-case hexadecimal digits
 */
public record Fingerprint(String value) {
  /** Throws {@link IllegalArgumentException} if the value is not a SHA-256 digest. */
  public Fingerprint {
    if (!value.matches("[0-9a-f]{64}")) {
      throw new IllegalArgumentException(
          "fingerprint must have 64 lower-case hexadecimal digits, got " + value);
    }
  }

  @Override
  public String toString() {
    return value;
  }
}
