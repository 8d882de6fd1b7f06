package org.mustardlatch.daemon.routing;

import java.util.List;

/**
 * The part of the output of a request that its {@link ResponseSink} has accepted so far.
 *
 * @param text generated text
 * @param tokenIds ids of the generated tokens; empty unless the prompt is a list of token ids
 * @param tokens number of generated tokens
 */
public record PartialOutput(String text, List<Integer> tokenIds, int tokens) {
  /** Copies the list of token ids. */
  public PartialOutput {
    tokenIds = List.copyOf(tokenIds);
  }
}
