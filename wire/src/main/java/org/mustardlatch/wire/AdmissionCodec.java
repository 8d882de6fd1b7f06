package org.mustardlatch.wire;

import java.util.Locale;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.ModelId;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.model.WorkspaceId;
import org.mustardlatch.core.peer.AdmissionMessage;
import org.mustardlatch.core.routing.GenerationRequest;
import org.mustardlatch.wire.generated.PeerProto;
import org.mustardlatch.wire.generated.PeerProto.Envelope;
import org.mustardlatch.wire.generated.PeerProto.Outcome;
import org.mustardlatch.wire.generated.PeerProto.Stage;

/** Converts admission messages to and from the body of an envelope. */
final class AdmissionCodec {
  private AdmissionCodec() {}

  static void encode(AdmissionMessage message, Envelope.Builder out) {
    switch (message) {
      case AdmissionMessage.Reserve m -> out.setReserve(reserve(m));
      case AdmissionMessage.ReserveDecode m -> out.setReserveDecode(reserveDecode(m));
      case AdmissionMessage.ReserveQueued m ->
          out.getReserveQueuedBuilder()
              .setAttempt(attempt(m.attempt()))
              .setPredictedWaitNanos(m.predictedWaitNanos())
              .setSummary(summary(m.summary()));
      case AdmissionMessage.ReserveWithdraw m ->
          out.getReserveWithdrawBuilder().setAttempt(attempt(m.attempt())).setCell(m.cell());
      case AdmissionMessage.ReserveGranted m ->
          out.getReserveGrantedBuilder()
              .setAttempt(attempt(m.attempt()))
              .setPrefill(m.prefill().value())
              .setDecode(m.decode().value())
              .setValidNanos(m.validNanos())
              .setSummary(summary(m.summary()));
      case AdmissionMessage.ReserveRefused m ->
          out.getReserveRefusedBuilder()
              .setAttempt(attempt(m.attempt()))
              .setCode(m.code().wireName())
              .setRetryAfterNanos(m.retryAfterNanos())
              .setSummary(summary(m.summary()));
      case AdmissionMessage.ReservationRenew m ->
          out.getReservationRenewBuilder()
              .setAttempt(attempt(m.attempt()))
              .setCell(m.cell())
              .setUpstream(m.upstream().value())
              .setStage(stage(m.stage()))
              .setTokensSoFar(m.tokensSoFar());
      case AdmissionMessage.ReservationRelease m ->
          out.getReservationReleaseBuilder()
              .setAttempt(attempt(m.attempt()))
              .setCell(m.cell())
              .setUpstream(m.upstream().value())
              .setOutcome(outcome(m.outcome()));
      case AdmissionMessage.CellSummary m -> out.setCellSummary(summary(m));
    }
  }

  static AdmissionMessage decode(Envelope e) {
    return switch (e.getBodyCase()) {
      case RESERVE -> reserve(e.getReserve());
      case RESERVE_DECODE -> reserveDecode(e.getReserveDecode());
      case RESERVE_QUEUED -> {
        PeerProto.ReserveQueued m = e.getReserveQueued();
        yield new AdmissionMessage.ReserveQueued(
            attempt(m.getAttempt()), m.getPredictedWaitNanos(), summary(m.getSummary()));
      }
      case RESERVE_WITHDRAW ->
          new AdmissionMessage.ReserveWithdraw(
              attempt(e.getReserveWithdraw().getAttempt()), e.getReserveWithdraw().getCell());
      case RESERVE_GRANTED -> {
        PeerProto.ReserveGranted m = e.getReserveGranted();
        yield new AdmissionMessage.ReserveGranted(
            attempt(m.getAttempt()),
            new UpstreamId(m.getPrefill()),
            new UpstreamId(m.getDecode()),
            m.getValidNanos(),
            summary(m.getSummary()));
      }
      case RESERVE_REFUSED -> {
        PeerProto.ReserveRefused m = e.getReserveRefused();
        yield new AdmissionMessage.ReserveRefused(
            attempt(m.getAttempt()),
            ErrorCode.valueOf(m.getCode().toUpperCase(Locale.ROOT)),
            m.getRetryAfterNanos(),
            summary(m.getSummary()));
      }
      case RESERVATION_RENEW -> {
        PeerProto.ReservationRenew m = e.getReservationRenew();
        yield new AdmissionMessage.ReservationRenew(
            attempt(m.getAttempt()),
            m.getCell(),
            new UpstreamId(m.getUpstream()),
            stage(m.getStage()),
            m.getTokensSoFar());
      }
      case RESERVATION_RELEASE -> {
        PeerProto.ReservationRelease m = e.getReservationRelease();
        yield new AdmissionMessage.ReservationRelease(
            attempt(m.getAttempt()),
            m.getCell(),
            new UpstreamId(m.getUpstream()),
            outcome(m.getOutcome()));
      }
      case CELL_SUMMARY -> summary(e.getCellSummary());
      default -> throw PeerCodec.unexpectedBody(e);
    };
  }

  private static PeerProto.Reserve reserve(AdmissionMessage.Reserve m) {
    PeerProto.Reserve.Builder b = PeerProto.Reserve.newBuilder();
    if (m.engineVersion() != null) {
      b.setEngineVersion(m.engineVersion());
    }
    return b.setAttempt(attempt(m.attempt()))
        .setCell(m.cell())
        .setWorkspace(m.workspace().value())
        .setModel(m.model().value())
        .setPromptTokens(m.promptTokens())
        .setMaxOutputTokens(m.maxOutputTokens())
        .addAllPrefixBlocks(m.prefixBlocks())
        .setFingerprint(PeerCodec.digestToBytes(m.fingerprint().value()))
        .setFirstTokenBudgetNanos(m.firstTokenBudgetNanos())
        .setFinalBudgetNanos(m.finalBudgetNanos())
        .addAllExcluded(m.excluded().stream().map(UpstreamId::value).toList())
        .setRank(m.rank())
        .setWaitBudgetNanos(m.waitBudgetNanos())
        .build();
  }

  private static AdmissionMessage.Reserve reserve(PeerProto.Reserve m) {
    return new AdmissionMessage.Reserve(
        attempt(m.getAttempt()),
        m.getCell(),
        new WorkspaceId(m.getWorkspace()),
        new ModelId(m.getModel()),
        m.getPromptTokens(),
        m.getMaxOutputTokens(),
        m.getPrefixBlocksList(),
        PeerCodec.fingerprintFromBytes(m.getFingerprint()),
        m.getFirstTokenBudgetNanos(),
        m.getFinalBudgetNanos(),
        m.getExcludedList().stream().map(UpstreamId::new).toList(),
        m.hasRank() ? m.getRank() : GenerationRequest.DEFAULT_RANK,
        m.hasWaitBudgetNanos() ? m.getWaitBudgetNanos() : m.getFirstTokenBudgetNanos(),
        m.hasEngineVersion() ? m.getEngineVersion() : null);
  }

  private static PeerProto.ReserveDecode reserveDecode(AdmissionMessage.ReserveDecode m) {
    PeerProto.ReserveDecode.Builder b = PeerProto.ReserveDecode.newBuilder();
    if (m.engineVersion() != null) {
      b.setEngineVersion(m.engineVersion());
    }
    return b.setAttempt(attempt(m.attempt()))
        .setCell(m.cell())
        .setWorkspace(m.workspace().value())
        .setModel(m.model().value())
        .setPromptTokens(m.promptTokens())
        .setMaxOutputTokens(m.maxOutputTokens())
        .setFingerprint(PeerCodec.digestToBytes(m.fingerprint().value()))
        .setSource(m.source().value())
        .setKvBudgetNanos(m.kvBudgetNanos())
        .addAllExcluded(m.excluded().stream().map(UpstreamId::value).toList())
        .setRank(m.rank())
        .build();
  }

  private static AdmissionMessage.ReserveDecode reserveDecode(PeerProto.ReserveDecode m) {
    return new AdmissionMessage.ReserveDecode(
        attempt(m.getAttempt()),
        m.getCell(),
        new WorkspaceId(m.getWorkspace()),
        new ModelId(m.getModel()),
        m.getPromptTokens(),
        m.getMaxOutputTokens(),
        PeerCodec.fingerprintFromBytes(m.getFingerprint()),
        new UpstreamId(m.getSource()),
        m.getKvBudgetNanos(),
        m.getExcludedList().stream().map(UpstreamId::new).toList(),
        m.hasRank() ? m.getRank() : GenerationRequest.DEFAULT_RANK,
        m.hasEngineVersion() ? m.getEngineVersion() : null);
  }

  private static PeerProto.Attempt attempt(AttemptId attempt) {
    return PeerProto.Attempt.newBuilder()
        .setRequest(attempt.request().value())
        .setNumber(attempt.number())
        .build();
  }

  private static AttemptId attempt(PeerProto.Attempt attempt) {
    return new AttemptId(new RequestId(attempt.getRequest()), attempt.getNumber());
  }

  private static PeerProto.CellSummary summary(AdmissionMessage.CellSummary m) {
    return PeerProto.CellSummary.newBuilder()
        .setCell(m.cell())
        .setFreeSlots(m.freeSlots())
        .setPredictedWaitNanos(m.predictedWaitNanos())
        .build();
  }

  private static AdmissionMessage.CellSummary summary(PeerProto.CellSummary m) {
    return new AdmissionMessage.CellSummary(
        m.getCell(), m.getFreeSlots(), m.getPredictedWaitNanos());
  }

  private static Stage stage(AdmissionMessage.Stage stage) {
    return switch (stage) {
      case PREFILL -> Stage.STAGE_PREFILL;
      case TRANSFER -> Stage.STAGE_TRANSFER;
      case DECODE -> Stage.STAGE_DECODE;
    };
  }

  private static AdmissionMessage.Stage stage(Stage stage) {
    return switch (stage) {
      case STAGE_PREFILL -> AdmissionMessage.Stage.PREFILL;
      case STAGE_TRANSFER -> AdmissionMessage.Stage.TRANSFER;
      case STAGE_DECODE -> AdmissionMessage.Stage.DECODE;
      case STAGE_UNSPECIFIED, UNRECOGNIZED -> throw PeerCodec.invalidEnum("stage", stage);
    };
  }

  private static Outcome outcome(AdmissionMessage.Outcome outcome) {
    return switch (outcome) {
      case FINISHED -> Outcome.OUTCOME_FINISHED;
      case CANCELLED -> Outcome.OUTCOME_CANCELLED;
      case FAILED -> Outcome.OUTCOME_FAILED;
      case CRASHED -> Outcome.OUTCOME_CRASHED;
      case REFUSED -> Outcome.OUTCOME_REFUSED;
    };
  }

  private static AdmissionMessage.Outcome outcome(Outcome outcome) {
    return switch (outcome) {
      case OUTCOME_FINISHED -> AdmissionMessage.Outcome.FINISHED;
      case OUTCOME_CANCELLED -> AdmissionMessage.Outcome.CANCELLED;
      case OUTCOME_FAILED -> AdmissionMessage.Outcome.FAILED;
      case OUTCOME_CRASHED -> AdmissionMessage.Outcome.CRASHED;
      case OUTCOME_REFUSED -> AdmissionMessage.Outcome.REFUSED;
      case OUTCOME_UNSPECIFIED, UNRECOGNIZED -> throw PeerCodec.invalidEnum("outcome", outcome);
    };
  }
}
