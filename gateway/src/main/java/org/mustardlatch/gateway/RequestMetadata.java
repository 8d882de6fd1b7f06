package org.mustardlatch.gateway;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The data that routing needs from the headers of a caller's request.
 *
 * @param requestId the caller's id of this attempt; null if the header is absent
 * @param timeoutMillis how long the caller waits for the response, milliseconds; null if the header
 *     is absent
 * @param promptTokens length of the prompt, tokens, at most {@link #MAX_TOKENS}
 * @param maxOutputTokens maximum number of tokens to generate, at most {@link #MAX_TOKENS}
 * @param lengthHint number of tokens that the caller expects to be generated, at most {@link
 *     #MAX_TOKENS}; 0 if not stated
 * @param promptParts the parts of the prompt in order
 * @param resumption how the caller goes on with a stream that was broken off; null if it does not
 */
public record RequestMetadata(
    @Nullable String requestId,
    @Nullable Long timeoutMillis,
    int promptTokens,
    int maxOutputTokens,
    int lengthHint,
    List<PromptPart> promptParts,
    @Nullable Resumption resumption) {
  /** Largest number of tokens that a caller may state; far above what any model takes. */
  public static final int MAX_TOKENS = 10_000_000;

  /**
   * Creates metadata with a copy of the list.
   *
   * @throws IllegalArgumentException if a number is negative or too large
   */
  public RequestMetadata {
    promptParts = List.copyOf(promptParts);
    checkTokens("length of the prompt", promptTokens);
    checkTokens("maximum output", maxOutputTokens);
    checkTokens("expected output", lengthHint);
    if (timeoutMillis != null && timeoutMillis < 0) {
      throw new IllegalArgumentException("timeout is " + timeoutMillis + " ms");
    }
  }

  /** Creates metadata of a request that does not resume a stream. */
  public RequestMetadata(
      @Nullable String requestId,
      @Nullable Long timeoutMillis,
      int promptTokens,
      int maxOutputTokens,
      int lengthHint,
      List<PromptPart> promptParts) {
    this(requestId, timeoutMillis, promptTokens, maxOutputTokens, lengthHint, promptParts, null);
  }

  private static void checkTokens(String what, int tokens) {
    if (tokens < 0 || tokens > MAX_TOKENS) {
      throw new IllegalArgumentException(what + " is " + tokens + " tokens");
    }
  }

  /**
   * A request for the events of a stream that follow those that the caller has.
   *
   * @param firstRequestId id of the caller's attempt that brought the first event; null if not
   *     stated
   */
  public record Resumption(@Nullable String firstRequestId) {}

  /**
   * A part of a prompt that several requests may have in common.
   *
   * @param contentDigest digest of the part's content
   * @param tokens length of the part, tokens
   */
  public record PromptPart(long contentDigest, int tokens) {
    /** Throws {@link IllegalArgumentException} if the length is negative or too large. */
    public PromptPart {
      checkTokens("length of a part", tokens);
    }
  }
}
