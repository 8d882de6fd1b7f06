package org.mustardlatch.gateway;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * What a platform's headers say of a request.
 *
 * @param id the caller's id of this attempt; null when it sent none
 * @param deadlineMillis time that the caller will wait, milliseconds; null when it did not say
 * @param promptTokens length of the prompt, tokens
 * @param maxOutputTokens most tokens to generate
 * @param lengthHint tokens that the caller expects to be generated; 0 when it did not say
 * @param promptParts the parts of the prompt in order
 */
public record CallerRequest(
    @Nullable String id,
    @Nullable Long deadlineMillis,
    int promptTokens,
    int maxOutputTokens,
    int lengthHint,
    List<PromptPart> promptParts) {
  /** Copies the list. */
  public CallerRequest {
    promptParts = List.copyOf(promptParts);
  }

  /**
   * A part of a prompt that requests may share.
   *
   * @param id digest of its content
   * @param tokens its length
   */
  public record PromptPart(long id, int tokens) {}
}
