package org.mustardlatch.core.peer;

import java.util.List;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.ModelId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.model.WorkspaceId;

/** Messages between an entry node and the admitting node of a cell. */
public sealed interface AdmissionMessage extends PeerMessage {
  /**
   * Asks for a reservation.
   *
   * @param cell cell that is asked
   * @param firstTokenBudgetNanos time left until the first-token deadline, nanoseconds
   * @param finalBudgetNanos time left until the final deadline, nanoseconds
   * @param excluded upstreams that must not be used, for example after a failure
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
      List<UpstreamId> excluded)
      implements AdmissionMessage {
    /** Copies the lists. */
    public Reserve {
      prefixBlocks = List.copyOf(prefixBlocks);
      excluded = List.copyOf(excluded);
    }
  }

  /**
   * Asks for another decode engine for a KV cache that was already exported.
   *
   * @param cell cell that is asked
   * @param source prefill engine that holds the KV cache
   * @param kvBudgetNanos time left until the KV cache expires, nanoseconds
   * @param excluded upstreams that must not be used
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
      List<UpstreamId> excluded)
      implements AdmissionMessage {
    /** Copies the list. */
    public ReserveDecode {
      excluded = List.copyOf(excluded);
    }
  }

  /**
   * The request waits in the queue of the cell; a grant or a refusal follows.
   *
   * @param predictedWaitNanos predicted time until the grant, nanoseconds
   */
  record ReserveQueued(AttemptId attempt, long predictedWaitNanos, CellSummary summary)
      implements AdmissionMessage {}

  /** The sender no longer wants the reservation that it asked for and was not granted yet. */
  record ReserveWithdraw(AttemptId attempt, String cell) implements AdmissionMessage {}

  /**
   * A reservation.
   *
   * @param validNanos how long it lasts unless renewed, nanoseconds
   */
  record ReserveGranted(
      AttemptId attempt,
      UpstreamId prefill,
      UpstreamId decode,
      long validNanos,
      CellSummary summary)
      implements AdmissionMessage {}

  /** No reservation. The summary lets the asker choose better next time. */
  record ReserveRefused(
      AttemptId attempt, ErrorCode code, long retryAfterNanos, CellSummary summary)
      implements AdmissionMessage {}

  /** The attempt goes on; its reservation must be kept. Also sent to a new admitting node. */
  record ReservationRenew(
      AttemptId attempt, String cell, UpstreamId upstream, Stage stage, int tokensSoFar)
      implements AdmissionMessage {}

  /** The attempt is over on this upstream; its reservation is free. */
  record ReservationRelease(AttemptId attempt, String cell, UpstreamId upstream, Outcome outcome)
      implements AdmissionMessage {}

  /**
   * Capacity of a cell.
   *
   * @param freeSlots decode slots without a reservation
   * @param predictedWaitNanos predicted wait of a new request before its prefill, nanoseconds
   */
  record CellSummary(String cell, int freeSlots, long predictedWaitNanos)
      implements AdmissionMessage {}

  /** How far an attempt has come. */
  enum Stage {
    PREFILL,
    TRANSFER,
    DECODE
  }

  /** How an attempt ended. */
  enum Outcome {
    FINISHED,
    CANCELLED,
    FAILED,
    CRASHED,
    REFUSED
  }
}
