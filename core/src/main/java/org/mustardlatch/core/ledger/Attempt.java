package org.mustardlatch.core.ledger;

/**
 * One attempt to run a keyed request.
 *
 * @param key location of its record
 * @param request digest of method, path and body, 1 to 64 printable ASCII characters
 * @param nonce 128 random bits that name the attempt, 32 lower-case hexadecimal digits; held in
 *     memory only, so that a restarted node never takes up the attempt
 * @param host node that starts it
 * @param incarnation incarnation of that node
 */
public record Attempt(LedgerKey key, String request, String nonce, String host, long incarnation) {
  /** Checks digest and nonce; throws {@link IllegalArgumentException} when one is malformed. */
  public Attempt {
    if (!request.matches("[\\x21-\\x7e&&[^\"\\\\]]{1,64}")) {
      throw new IllegalArgumentException(
          "a request digest has 1 to 64 printable characters, got \"" + request + "\"");
    }
    if (!nonce.matches("[0-9a-f]{32}")) {
      throw new IllegalArgumentException("a nonce has 32 hexadecimal digits, got " + nonce);
    }
  }
}
