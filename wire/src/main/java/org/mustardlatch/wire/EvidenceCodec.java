package org.mustardlatch.wire;

import com.google.protobuf.ByteString;
import java.util.OptionalDouble;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.peer.EvidenceMessage;
import org.mustardlatch.wire.generated.PeerProto;
import org.mustardlatch.wire.generated.PeerProto.Envelope;
import org.mustardlatch.wire.generated.PeerProto.Verdict;

/** Converts messages about crashes and leaving upstreams to and from the body of an envelope. */
final class EvidenceCodec {
  private EvidenceCodec() {}

  static void encode(EvidenceMessage message, Envelope.Builder out) {
    switch (message) {
      case EvidenceMessage.CrashReport m ->
          out.getCrashReportBuilder()
              .setUpstream(m.upstream().value())
              .setCrashId(m.crashId())
              .addAllRunning(m.running().stream().map(EvidenceCodec::fingerprintToBytes).toList());
      case EvidenceMessage.RunRequest m ->
          out.getRunRequestBuilder()
              .setFingerprint(fingerprintToBytes(m.fingerprint()))
              .setAttempt(m.attempt())
              .setGroup(m.group());
      case EvidenceMessage.RunEnded m ->
          out.getRunEndedBuilder()
              .setFingerprint(fingerprintToBytes(m.fingerprint()))
              .setAttempt(m.attempt());
      case EvidenceMessage.RunPermission m ->
          out.getRunPermissionBuilder()
              .setFingerprint(fingerprintToBytes(m.fingerprint()))
              .setAttempt(m.attempt())
              .setVerdict(verdict(m.verdict()));
      case EvidenceMessage.Cleared m ->
          out.getClearedBuilder().setFingerprint(fingerprintToBytes(m.fingerprint()));
      case EvidenceMessage.PromptCrashReport m ->
          out.getPromptCrashReportBuilder()
              .setUpstream(m.upstream().value())
              .setAgeNanos(m.ageNanos())
              .addAllRuns(m.runs().stream().map(EvidenceCodec::promptPartRun).toList());
      case EvidenceMessage.PromptPartsCleared m ->
          out.getPromptPartsClearedBuilder()
              .setId(m.id())
              .addAllParts(m.parts().stream().map(EvidenceCodec::fingerprintToBytes).toList());
      case EvidenceMessage.EvidenceRequest m -> out.getEvidenceRequestBuilder();
      case EvidenceMessage.EvidenceSent m -> out.getEvidenceSentBuilder().setComplete(m.complete());
      case EvidenceMessage.RateLimitNotice m -> {
        PeerProto.RateLimitNotice.Builder notice =
            out.getRateLimitNoticeBuilder()
                .setUpstream(m.upstream().value())
                .setAgeNanos(m.ageNanos());
        m.requestsPerSecond().ifPresent(notice::setRequestsPerSecond);
      }
      case EvidenceMessage.LeavingNotice m ->
          out.getLeavingNoticeBuilder().setUpstream(m.upstream().value());
    }
  }

  static EvidenceMessage decode(Envelope e) {
    return switch (e.getBodyCase()) {
      case CRASH_REPORT -> {
        PeerProto.CrashReport m = e.getCrashReport();
        yield new EvidenceMessage.CrashReport(
            new UpstreamId(m.getUpstream()),
            m.getCrashId(),
            m.getRunningList().stream().map(PeerCodec::fingerprintFromBytes).toList());
      }
      case RUN_REQUEST ->
          new EvidenceMessage.RunRequest(
              PeerCodec.fingerprintFromBytes(e.getRunRequest().getFingerprint()),
              e.getRunRequest().getAttempt(),
              e.getRunRequest().getGroup());
      case RUN_ENDED ->
          new EvidenceMessage.RunEnded(
              PeerCodec.fingerprintFromBytes(e.getRunEnded().getFingerprint()),
              e.getRunEnded().getAttempt());
      case RUN_PERMISSION ->
          new EvidenceMessage.RunPermission(
              PeerCodec.fingerprintFromBytes(e.getRunPermission().getFingerprint()),
              e.getRunPermission().getAttempt(),
              verdict(e.getRunPermission().getVerdict()));
      case CLEARED ->
          new EvidenceMessage.Cleared(
              PeerCodec.fingerprintFromBytes(e.getCleared().getFingerprint()));
      case PROMPT_CRASH_REPORT -> {
        PeerProto.PromptCrashReport m = e.getPromptCrashReport();
        yield new EvidenceMessage.PromptCrashReport(
            new UpstreamId(m.getUpstream()),
            m.getAgeNanos(),
            m.getRunsList().stream().map(EvidenceCodec::promptPartRun).toList());
      }
      case PROMPT_PARTS_CLEARED -> {
        PeerProto.PromptPartsCleared m = e.getPromptPartsCleared();
        yield new EvidenceMessage.PromptPartsCleared(
            m.getId(), m.getPartsList().stream().map(PeerCodec::fingerprintFromBytes).toList());
      }
      case EVIDENCE_REQUEST -> new EvidenceMessage.EvidenceRequest();
      case EVIDENCE_SENT -> new EvidenceMessage.EvidenceSent(e.getEvidenceSent().getComplete());
      case RATE_LIMIT_NOTICE -> {
        PeerProto.RateLimitNotice m = e.getRateLimitNotice();
        yield new EvidenceMessage.RateLimitNotice(
            new UpstreamId(m.getUpstream()),
            m.hasRequestsPerSecond()
                ? OptionalDouble.of(m.getRequestsPerSecond())
                : OptionalDouble.empty(),
            m.getAgeNanos());
      }
      case LEAVING_NOTICE ->
          new EvidenceMessage.LeavingNotice(new UpstreamId(e.getLeavingNotice().getUpstream()));
      default -> throw PeerCodec.unexpectedBody(e);
    };
  }

  private static PeerProto.PromptPartRun promptPartRun(EvidenceMessage.PromptPartRun run) {
    return PeerProto.PromptPartRun.newBuilder()
        .setPart(fingerprintToBytes(run.part()))
        .setLeadNanos(run.leadNanos())
        .build();
  }

  private static EvidenceMessage.PromptPartRun promptPartRun(PeerProto.PromptPartRun run) {
    return new EvidenceMessage.PromptPartRun(
        PeerCodec.fingerprintFromBytes(run.getPart()), run.getLeadNanos());
  }

  private static ByteString fingerprintToBytes(Fingerprint fingerprint) {
    return PeerCodec.digestToBytes(fingerprint.value());
  }

  private static Verdict verdict(EvidenceMessage.Verdict verdict) {
    return switch (verdict) {
      case RUN -> Verdict.VERDICT_RUN;
      case WAIT -> Verdict.VERDICT_WAIT;
      case QUARANTINED -> Verdict.VERDICT_QUARANTINED;
    };
  }

  private static EvidenceMessage.Verdict verdict(Verdict verdict) {
    return switch (verdict) {
      case VERDICT_RUN -> EvidenceMessage.Verdict.RUN;
      case VERDICT_WAIT -> EvidenceMessage.Verdict.WAIT;
      case VERDICT_QUARANTINED -> EvidenceMessage.Verdict.QUARANTINED;
      case VERDICT_UNSPECIFIED, UNRECOGNIZED -> throw PeerCodec.invalidEnum("verdict", verdict);
    };
  }
}
