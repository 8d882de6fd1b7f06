package org.mustardlatch.daemon.routing;

import java.util.List;

/**
 * What the caller of a request has received.
 *
 * @param text its text
 * @param tokenIds its token ids; empty unless the prompt is a list of token ids
 * @param tokens its length, tokens
 */
public record PartialOutput(String text, List<Integer> tokenIds, int tokens) {
  /** Copies the list. */
  public PartialOutput {
    tokenIds = List.copyOf(tokenIds);
  }
}
