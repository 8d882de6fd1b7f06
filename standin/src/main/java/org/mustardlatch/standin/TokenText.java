package org.mustardlatch.standin;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * The text that an engine stand-in generates. Each token is a function of all text before it, so a
 * continuation of prompt plus earlier tokens yields the same text as an uninterrupted run, and
 * every answer can be checked against its own prompt.
 */
public final class TokenText {
  private final CRC32C state = new CRC32C();

  /** Starts after the given prompt. */
  public TokenText(String prompt) {
    state.update(prompt.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the digest of the text so far, 32 bits. */
  public int digest() {
    return (int) state.getValue();
  }

  /** Returns the next token's identifier, 0 to 2^31 - 1. */
  public int nextId() {
    int id = digest() & Integer.MAX_VALUE;
    state.update(textOf(id).getBytes(StandardCharsets.UTF_8));
    return id;
  }

  /** Returns the text of a token. */
  public static String textOf(int id) {
    return " " + Integer.toHexString(id);
  }

  /**
   * Returns the whole answer to a prompt.
   *
   * @param tokens length of the answer, tokens
   */
  public static String answer(String prompt, int tokens) {
    TokenText text = new TokenText(prompt);
    StringBuilder answer = new StringBuilder();
    for (int i = 0; i < tokens; i++) {
      answer.append(textOf(text.nextId()));
    }
    return answer.toString();
  }
}
