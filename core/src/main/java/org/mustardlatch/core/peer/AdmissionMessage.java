package org.mustardlatch.core.peer;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.ModelId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.model.WorkspaceId;

/**
 * Messages between an entry node (the node that holds the caller's connection) and the admitting
 * node of a cell (the node that admits work to the engines of one model in one region).
 */
public sealed interface AdmissionMessage extends PeerMessage {
  /**
   * Requests a reservation.
   *
   * @param cell cell that receives the request
   * @param prefixBlocks hashes of the leading blocks of the prompt, for prefix caches
   * @param firstTokenBudgetNanos time left until the first-token deadline, nanoseconds
   * @param finalBudgetNanos time left until the final deadline, nanoseconds
   * @param excluded upstreams that must not be used, for example after a failure
   * @param rank urgency, from 0 for the most urgent to 9
   * @param waitBudgetNanos time left until the caller leaves without a first token, nanoseconds;
   *     longer than the first-token budget if a late first token is of use
   * @param engineVersion software version of the decode engine, at which the generation has begun;
   *     null if any may be used
   */
  record Reserve(
      AttemptId attempt,
      String cell,
      WorkspaceId workspace,
      ModelId model,
      int promptTokens,
      int maxOutputTokens,
      List<Long> prefixBlocks,
      Fingerprint fingerprint,
      long firstTokenBudgetNanos,
      long finalBudgetNanos,
      List<UpstreamId> excluded,
      int rank,
      long waitBudgetNanos,
      @Nullable String engineVersion)
      implements AdmissionMessage {
    /** Copies the lists. */
    public Reserve {
      prefixBlocks = List.copyOf(prefixBlocks);
      excluded = List.copyOf(excluded);
    }
  }

  /**
   * Requests another decode engine for a KV cache that was already exported.
   *
   * @param cell cell that receives the request
   * @param source prefill engine that retains the KV cache
   * @param kvBudgetNanos time left until the KV cache expires, nanoseconds
   * @param excluded upstreams that must not be used
   * @param rank urgency, from 0 for the most urgent to 9
   * @param engineVersion software version of the decode engine, at which the generation has begun;
   *     null if any may be used
   */
  record ReserveDecode(
      AttemptId attempt,
      String cell,
      WorkspaceId workspace,
      ModelId model,
      int promptTokens,
      int maxOutputTokens,
      Fingerprint fingerprint,
      UpstreamId source,
      long kvBudgetNanos,
      List<UpstreamId> excluded,
      int rank,
      @Nullable String engineVersion)
      implements AdmissionMessage {
    /** Copies the list. */
    public ReserveDecode {
      excluded = List.copyOf(excluded);
    }
  }

  /**
   * Reports that the request waits in the queue of the cell; a grant or a refusal follows.
   *
   * @param predictedWaitNanos predicted time until the grant, nanoseconds
   */
  record ReserveQueued(AttemptId attempt, long predictedWaitNanos, CellSummary summary)
      implements AdmissionMessage {}

  /** Withdraws a request for a reservation that was not granted yet. */
  record ReserveWithdraw(AttemptId attempt, String cell) implements AdmissionMessage {}

  /**
   * Grants a reservation.
   *
   * @param validNanos lifetime of the reservation unless renewed, nanoseconds
   */
  record ReserveGranted(
      AttemptId attempt,
      UpstreamId prefill,
      UpstreamId decode,
      long validNanos,
      CellSummary summary)
      implements AdmissionMessage {}

  /**
   * Refuses a reservation. The summary helps the requester to choose a cell for its next request.
   */
  record ReserveRefused(
      AttemptId attempt, ErrorCode code, long retryAfterNanos, CellSummary summary)
      implements AdmissionMessage {}

  /** Renews the reservation of an attempt that continues. Also sent to a new admitting node. */
  record ReservationRenew(
      AttemptId attempt, String cell, UpstreamId upstream, Stage stage, int tokensSoFar)
      implements AdmissionMessage {}

  /** Releases the reservation of an attempt that ended on this upstream. */
  record ReservationRelease(AttemptId attempt, String cell, UpstreamId upstream, Outcome outcome)
      implements AdmissionMessage {}

  /**
   * Reports the free capacity of a cell.
   *
   * @param freeSlots decode slots without a reservation
   * @param predictedWaitNanos predicted wait of a new request before its prefill, nanoseconds
   */
  record CellSummary(String cell, int freeSlots, long predictedWaitNanos)
      implements AdmissionMessage {}

  /** Stage that an attempt has reached. */
  enum Stage {
    PREFILL,
    TRANSFER,
    DECODE
  }

  /** Outcome of an attempt. */
  enum Outcome {
    FINISHED,
    CANCELLED,
    FAILED,
    CRASHED,
    REFUSED
  }
}
