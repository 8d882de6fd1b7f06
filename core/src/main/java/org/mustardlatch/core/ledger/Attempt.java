package org.mustardlatch.core.ledger;

/**
 * One attempt to run a request that has an idempotency key.
 *
 * @param key ledger key of the record
 * @param requestDigest digest of method, path and body, 1 to 64 printable ASCII characters
 * @param nonce 128 random bits that identify the attempt, 32 lower-case hexadecimal digits; the
 *     starting node keeps its list of open attempts in memory only, so that it cannot resume the
 *     attempt after a restart
 * @param host node that starts the attempt
 * @param incarnation incarnation of that node
 */
public record Attempt(
    LedgerKey key, String requestDigest, String nonce, String host, long incarnation) {
  /** Validates digest and nonce; throws {@link IllegalArgumentException} if one is malformed. */
  public Attempt {
    if (!requestDigest.matches("[\\x21-\\x7e&&[^\"\\\\]]{1,64}")) {
      throw new IllegalArgumentException(
          "a request digest must have 1 to 64 printable characters, got \"" + requestDigest + "\"");
    }
    if (!nonce.matches("[0-9a-f]{32}")) {
      throw new IllegalArgumentException("a nonce must have 32 hexadecimal digits, got " + nonce);
    }
  }
}
