package org.mustardlatch.core.routing;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.ModelId;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.model.WorkspaceId;

/**
 * The properties of a generation request that routing decisions depend on.
 *
 * @param id identifier of the request
 * @param workspace workspace whose limits and share apply
 * @param model requested model
 * @param promptTokens length of the prompt, tokens
 * @param maxOutputTokens maximum number of tokens to generate
 * @param promptBytes size of the request body, bytes
 * @param prefixBlocks hashes of the prompt's leading blocks of 256 tokens, for prefix caches
 * @param fingerprint digest of the content
 * @param firstTokenDeadlineNanos monotonic time by which the first token must arrive
 * @param finalDeadlineNanos monotonic time after which the request is cancelled
 * @param resumable whether another engine may repeat or continue the generation after one may have
 *     started it
 * @param maxRuns maximum number of engines that may start the generation, at least 1
 * @param plannedOutputTokens output tokens for which KV memory is planned; engines preempt requests
 *     whose output becomes longer
 * @param promptParts digests of the parts of the prompt that other requests may share
 * @param endsAtMaxOutput whether a generation that breaks off after {@code maxOutputTokens} is
 *     complete; false if only the end of an engine's response tells that nothing is missing
 * @param rank urgency, from 0 for the most urgent to 9
 * @param waitLimitNanos monotonic time until which the caller waits for its first token; not before
 *     {@code firstTokenDeadlineNanos}
 * @param stream digest that identifies the stream when its caller resumes it; null if the caller
 *     can't
 * @param resumed whether the caller has the first events of the stream already
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
    int plannedOutputTokens,
    List<Fingerprint> promptParts,
    boolean endsAtMaxOutput,
    int rank,
    long waitLimitNanos,
    @Nullable Fingerprint stream,
    boolean resumed) {
  /** Rank of a request that states none, as engines assume it. */
  public static final int DEFAULT_RANK = 5;

  /** The rank of the least urgent requests. */
  public static final int LEAST_URGENT_RANK = 9;

  /** Copies the lists and checks {@code maxRuns} and {@code waitLimitNanos}. */
  public GenerationRequest {
    prefixBlocks = List.copyOf(prefixBlocks);
    promptParts = List.copyOf(promptParts);
    if (maxRuns < 1) {
      throw new IllegalArgumentException("maxRuns must be at least 1, got " + maxRuns);
    }
    if (waitLimitNanos < firstTokenDeadlineNanos) {
      throw new IllegalArgumentException("waitLimitNanos is before the first-token deadline");
    }
  }

  /** Creates a request that is of no use after its first-token deadline. */
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
      long finalDeadlineNanos,
      boolean resumable,
      int maxRuns,
      int plannedOutputTokens,
      List<Fingerprint> promptParts,
      boolean endsAtMaxOutput,
      int rank) {
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
        resumable,
        maxRuns,
        plannedOutputTokens,
        promptParts,
        endsAtMaxOutput,
        rank,
        firstTokenDeadlineNanos,
        null,
        false);
  }

  /**
   * Creates a request that may be resumed on any number of engines, with KV memory planned for all
   * output tokens and no parts that other requests share, and that ends with its last token.
   */
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
        maxOutputTokens,
        List.of(),
        true,
        DEFAULT_RANK);
  }

  /** Returns the same request with other parts of its prompt. */
  public GenerationRequest withPromptParts(List<Fingerprint> parts) {
    return new GenerationRequest(
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
        resumable,
        maxRuns,
        plannedOutputTokens,
        parts,
        endsAtMaxOutput,
        rank,
        waitLimitNanos,
        stream,
        resumed);
  }
}
