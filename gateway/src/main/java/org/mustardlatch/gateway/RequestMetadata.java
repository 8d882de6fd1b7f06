package org.mustardlatch.gateway;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The data that routing needs from the headers of a caller's request.
 *
 * @param requestId the caller's id of this attempt; null if the header is absent
 * @param timeoutMillis how long the caller waits for the response, milliseconds; null if the header
 *     is absent
 * @param promptTokens length of the prompt, tokens
 * @param maxOutputTokens maximum number of tokens to generate
 * @param lengthHint number of tokens that the caller expects to be generated; 0 if not stated
 * @param promptParts the parts of the prompt in order
 */
public record RequestMetadata(
    @Nullable String requestId,
    @Nullable Long timeoutMillis,
    int promptTokens,
    int maxOutputTokens,
    int lengthHint,
    List<PromptPart> promptParts) {
  /** Creates metadata with a copy of the list. */
  public RequestMetadata {
    promptParts = List.copyOf(promptParts);
  }

  /**
   * A part of a prompt that several requests may have in common.
   *
   * @param contentDigest digest of the part's content
   * @param tokens length of the part, tokens
   */
  public record PromptPart(long contentDigest, int tokens) {}
}
