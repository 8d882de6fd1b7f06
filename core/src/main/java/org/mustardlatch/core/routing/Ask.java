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
 * @param from the entry node
 * @param source engine that already holds the KV cache; null when a prefill is needed
 * @param firstTokenDeadlineNanos monotonic time of this node
 * @param budgetNanos time from the arrival of the ask to the first-token deadline
 */
record Ask(
    AttemptId attempt,
    HostId from,
    WorkspaceId workspace,
    int promptTokens,
    int maxOutputTokens,
    List<Long> prefixBlocks,
    Fingerprint fingerprint,
    @Nullable UpstreamId source,
    long firstTokenDeadlineNanos,
    long budgetNanos,
    List<UpstreamId> excluded) {
  private static final int TOKENS_PER_PIECE = 1000;

  static Ask of(Reserve r, HostId from, long now) {
    return new Ask(
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

  static Ask of(ReserveDecode r, HostId from, long now) {
    return new Ask(
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

  /** Returns the KV memory that the prompt takes, in pieces of 1,000 tokens. */
  int prefillPieces() {
    return Math.ceilDiv(promptTokens, TOKENS_PER_PIECE);
  }

  /** Returns the KV memory that prompt and answer take at most, in pieces of 1,000 tokens. */
  int decodePieces() {
    return Math.ceilDiv(promptTokens + maxOutputTokens, TOKENS_PER_PIECE);
  }
}
