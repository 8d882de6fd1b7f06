package org.mustardlatch.core.routing;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.manifest.Upstream;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.model.WorkspaceId;
import org.mustardlatch.core.peer.AdmissionMessage.Reserve;
import org.mustardlatch.core.peer.AdmissionMessage.ReserveDecode;

/**
 * A request of an entry node for a reservation, as received by the admitting node.
 *
 * @param requester the entry node that sent it
 * @param maxOutputTokens output tokens to plan KV memory for
 * @param prefixBlocks hashes of the leading blocks of the prompt, for {@link PrefixIndex}
 * @param kvSource engine that already retains the KV cache; null if a prefill is needed
 * @param firstTokenDeadlineNanos deadline of the first token, or the expiry of the KV cache if it
 *     already exists; monotonic time of this node
 * @param budgetNanos time from the arrival of this request to that deadline
 * @param excludedUpstreams engines that already failed the request; used only if no other engine of
 *     their pool is usable
 * @param rank urgency, from 0 for the most urgent to 9
 * @param waitLimitNanos time until which the caller waits for its first token, which may be after
 *     that deadline; monotonic time of this node
 * @param engineVersion software version of the decode engine, at which the generation has begun;
 *     null if any may be used
 */
record ReservationRequest(
    AttemptId attempt,
    HostId requester,
    WorkspaceId workspace,
    int promptTokens,
    int maxOutputTokens,
    List<Long> prefixBlocks,
    Fingerprint fingerprint,
    @Nullable UpstreamId kvSource,
    long firstTokenDeadlineNanos,
    long budgetNanos,
    List<UpstreamId> excludedUpstreams,
    int rank,
    long waitLimitNanos,
    @Nullable String engineVersion) {

  /** Creates a request that is of no use after its first-token deadline. */
  ReservationRequest(
      AttemptId attempt,
      HostId requester,
      WorkspaceId workspace,
      int promptTokens,
      int maxOutputTokens,
      List<Long> prefixBlocks,
      Fingerprint fingerprint,
      @Nullable UpstreamId kvSource,
      long firstTokenDeadlineNanos,
      long budgetNanos,
      List<UpstreamId> excludedUpstreams,
      int rank) {
    this(
        attempt,
        requester,
        workspace,
        promptTokens,
        maxOutputTokens,
        prefixBlocks,
        fingerprint,
        kvSource,
        firstTokenDeadlineNanos,
        budgetNanos,
        excludedUpstreams,
        rank,
        firstTokenDeadlineNanos,
        null);
  }

  static ReservationRequest of(Reserve r, HostId from, long now) {
    return new ReservationRequest(
        r.attempt(),
        from,
        r.workspace(),
        r.promptTokens(),
        r.maxOutputTokens(),
        r.prefixBlocks(),
        r.fingerprint(),
        null,
        now + r.firstTokenBudgetNanos(),
        r.firstTokenBudgetNanos(),
        r.excluded(),
        r.rank(),
        now + Math.max(r.firstTokenBudgetNanos(), r.waitBudgetNanos()),
        r.engineVersion());
  }

  static ReservationRequest of(ReserveDecode r, HostId from, long now) {
    return new ReservationRequest(
        r.attempt(),
        from,
        r.workspace(),
        r.promptTokens(),
        r.maxOutputTokens(),
        List.of(),
        r.fingerprint(),
        r.source(),
        now + r.kvBudgetNanos(),
        r.kvBudgetNanos(),
        r.excluded(),
        r.rank(),
        now + r.kvBudgetNanos(),
        r.engineVersion());
  }

  /** Returns whether the generation has begun and can only go on at one software version. */
  boolean isBoundToVersion() {
    return engineVersion != null;
  }

  /** Returns whether the generation may go on at a decode engine. */
  boolean mayDecodeAt(Upstream engine) {
    return engineVersion == null || engineVersion.equals(engine.softwareVersion());
  }

  /** Returns whether a first token after the deadline is still of use to the caller. */
  boolean mayBeLate() {
    return waitLimitNanos > firstTokenDeadlineNanos;
  }

  /** Returns the KV memory of the prompt, in pieces of {@code pieceTokens} tokens. */
  int prefillMemoryPieces(int pieceTokens) {
    return Math.ceilDiv(promptTokens, pieceTokens);
  }

  /** Returns the KV memory of prompt and output, in pieces of {@code pieceTokens} tokens. */
  int decodeMemoryPieces(int pieceTokens) {
    return Math.ceilDiv(promptTokens + maxOutputTokens, pieceTokens);
  }
}
