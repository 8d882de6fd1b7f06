package org.mustardlatch.core.routing;

import java.util.List;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.ModelId;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.model.WorkspaceId;

/**
 * A generation request as the routing decisions see it.
 *
 * @param id the request
 * @param workspace whose limits and share apply
 * @param model the model that was asked for
 * @param promptTokens length of the prompt, tokens
 * @param maxOutputTokens most tokens that may be generated
 * @param promptBytes size of the request body, bytes
 * @param prefixBlocks hashes of the prompt's leading blocks of 256 tokens, for prefix caches
 * @param fingerprint digest of the content
 * @param firstTokenDeadlineNanos monotonic time by which the first token must arrive
 * @param finalDeadlineNanos monotonic time after which the answer is of no use
 * @param resumable whether another engine may generate the answer anew, or go on with it, after one
 *     may have begun to
 * @param maxRuns most engines that may begin to generate the answer, at least 1
 * @param plannedOutputTokens tokens of the answer that KV memory is planned for; engines preempt
 *     when answers become longer
 */
public record GenerationRequest(
    RequestId id,
    WorkspaceId workspace,
    ModelId model,
    int promptTokens,
    int maxOutputTokens,
    int promptBytes,
    List<Long> prefixBlocks,
    Fingerprint fingerprint,
    long firstTokenDeadlineNanos,
    long finalDeadlineNanos,
    boolean resumable,
    int maxRuns,
    int plannedOutputTokens) {
  /** Copies the list. */
  public GenerationRequest {
    prefixBlocks = List.copyOf(prefixBlocks);
    if (maxRuns < 1) {
      throw new IllegalArgumentException("maxRuns must be at least 1, got " + maxRuns);
    }
  }

  /** Creates a request that may be resumed on any number of engines. */
  public GenerationRequest(
      RequestId id,
      WorkspaceId workspace,
      ModelId model,
      int promptTokens,
      int maxOutputTokens,
      int promptBytes,
      List<Long> prefixBlocks,
      Fingerprint fingerprint,
      long firstTokenDeadlineNanos,
      long finalDeadlineNanos) {
    this(
        id,
        workspace,
        model,
        promptTokens,
        maxOutputTokens,
        promptBytes,
        prefixBlocks,
        fingerprint,
        firstTokenDeadlineNanos,
        finalDeadlineNanos,
        true,
        Integer.MAX_VALUE,
        maxOutputTokens);
  }
}
