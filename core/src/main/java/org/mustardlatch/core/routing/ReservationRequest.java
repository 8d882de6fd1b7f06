package org.mustardlatch.core.routing;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.model.WorkspaceId;
import org.mustardlatch.core.peer.AdmissionMessage.Reserve;
import org.mustardlatch.core.peer.AdmissionMessage.ReserveDecode;

/**
 * A request for a reservation as the admitting node sees it.
 *
 * @param requester the entry node
 * @param kvSource engine that already holds the KV cache; null when a prefill is needed
 * @param firstTokenDeadlineNanos monotonic time of this node
 * @param maxOutputTokens tokens of the answer to plan memory for
 * @param budgetNanos time from the arrival of the ask to the first-token deadline
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
    List<UpstreamId> excludedUpstreams) {

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
        r.excluded());
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
        r.excluded());
  }

  /** Returns the KV memory that the prompt takes, in pieces of a number of tokens. */
  int prefillMemoryPieces(int pieceTokens) {
    return Math.ceilDiv(promptTokens, pieceTokens);
  }

  /** Returns the KV memory to plan for prompt and answer, in pieces of a number of tokens. */
  int decodeMemoryPieces(int pieceTokens) {
    return Math.ceilDiv(promptTokens + maxOutputTokens, pieceTokens);
  }
}
