package org.mustardlatch.core.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.peer.EvidenceMessage.Verdict;
import org.mustardlatch.core.quarantine.CrashEvidence.SuspicionLevel;

/**
 * Tests which crashes quarantine a fingerprint, for how long, and how many attempts of a suspect
 * may run.
 */
class CrashEvidenceTest {
  private static final Fingerprint CRASHING = fingerprint(1);
  private static final Fingerprint OTHER = fingerprint(2);

  private final CrashEvidence evidence = new CrashEvidence();

  private static Fingerprint fingerprint(int number) {
    return new Fingerprint(String.format("%064x", number));
  }

  @Test
  void quarantinesAfterTwoDifferentCrashes() {
    evidence.recordCrash("c1", List.of(CRASHING, OTHER), 0);
    assertThat(evidence.suspicionLevel(CRASHING, 0)).isEqualTo(SuspicionLevel.SUSPECT);

    evidence.recordCrash("c2", List.of(CRASHING), 1);
    assertThat(evidence.suspicionLevel(CRASHING, 1)).isEqualTo(SuspicionLevel.QUARANTINED);
    assertThat(evidence.suspicionLevel(OTHER, 1)).isEqualTo(SuspicionLevel.SUSPECT);
  }

  @Test
  void requestsThatWereOnTheSameTwoCrashesAreToldApartByTheNextOne() {
    evidence.recordCrash("c1", List.of(CRASHING, OTHER), 0);
    evidence.recordCrash("c2", List.of(CRASHING, OTHER), 1);
    assertThat(evidence.suspicionLevel(CRASHING, 1)).isEqualTo(SuspicionLevel.SUSPECT);
    assertThat(evidence.suspicionLevel(OTHER, 1)).isEqualTo(SuspicionLevel.SUSPECT);

    evidence.recordCrash("c3", List.of(CRASHING), 2);
    assertThat(evidence.suspicionLevel(CRASHING, 2)).isEqualTo(SuspicionLevel.QUARANTINED);
    assertThat(evidence.suspicionLevel(OTHER, 2)).isEqualTo(SuspicionLevel.SUSPECT);
  }

  @Test
  void innocentRequestThatCompletesLeavesTheOtherAsTheOnlyCause() {
    evidence.recordCrash("c1", List.of(CRASHING, OTHER), 0);
    evidence.recordCrash("c2", List.of(CRASHING, OTHER), 1);

    assertThat(evidence.clear(OTHER, 2)).isTrue();

    assertThat(evidence.suspicionLevel(CRASHING, 2)).isEqualTo(SuspicionLevel.QUARANTINED);
    assertThat(evidence.suspicionLevel(OTHER, 2)).isEqualTo(SuspicionLevel.CLEAN);
  }

  @Test
  void threeCrashesQuarantineARequestEvenIfItWasNeverAlone() {
    for (String crash : List.of("c1", "c2", "c3")) {
      evidence.recordCrash(crash, List.of(CRASHING, OTHER), 0);
    }
    assertThat(evidence.suspicionLevel(CRASHING, 0)).isEqualTo(SuspicionLevel.QUARANTINED);
  }

  @Test
  void laterReportOfACrashAddsTheRequestsOfAnotherNode() {
    evidence.recordCrash("c1", List.of(OTHER), 0);
    evidence.recordCrash("c1", List.of(CRASHING), 0);
    evidence.recordCrash("c2", List.of(CRASHING), 1);

    assertThat(evidence.suspicionLevel(CRASHING, 1)).isEqualTo(SuspicionLevel.QUARANTINED);
    assertThat(evidence.suspicionLevel(OTHER, 1)).isEqualTo(SuspicionLevel.SUSPECT);
  }

  @Test
  void countsACrashReportedTwiceOnlyOnce() {
    evidence.recordCrash("c1", List.of(CRASHING), 0);
    evidence.recordCrash("c1", List.of(CRASHING), 1);

    assertThat(evidence.suspicionLevel(CRASHING, 1)).isEqualTo(SuspicionLevel.SUSPECT);
  }

  @Test
  void clearsASuspectButNotAQuarantine() {
    evidence.recordCrash("c1", List.of(CRASHING, OTHER), 0);
    evidence.recordCrash("c2", List.of(CRASHING), 0);
    assertThat(evidence.clear(CRASHING, 0)).isFalse();
    assertThat(evidence.clear(OTHER, 0)).isTrue();

    assertThat(evidence.suspicionLevel(CRASHING, 0)).isEqualTo(SuspicionLevel.QUARANTINED);
    assertThat(evidence.suspicionLevel(OTHER, 0)).isEqualTo(SuspicionLevel.CLEAN);
  }

  @Test
  void expiresEvidenceTenMinutesAfterTheLastCrash() {
    evidence.recordCrash("c1", List.of(CRASHING), 0);
    evidence.recordCrash("c2", List.of(CRASHING), 1);

    assertThat(evidence.suspicionLevel(CRASHING, CrashEvidence.LIFETIME_NANOS))
        .isEqualTo(SuspicionLevel.QUARANTINED);
    assertThat(evidence.suspicionLevel(CRASHING, CrashEvidence.LIFETIME_NANOS + 1))
        .isEqualTo(SuspicionLevel.CLEAN);
    evidence.expire(CrashEvidence.LIFETIME_NANOS + 1);
    assertThat(evidence.size()).isEqualTo(0);
  }

  @Test
  void keepsABoundedNumberOfFingerprints() {
    for (int i = 0; i <= CrashEvidence.MAX_FINGERPRINTS; i++) {
      evidence.recordCrash("c" + i, List.of(fingerprint(i)), i);
    }
    assertThat(evidence.size()).isEqualTo(CrashEvidence.MAX_FINGERPRINTS);
    assertThat(evidence.suspicionLevel(fingerprint(0), 0)).isEqualTo(SuspicionLevel.CLEAN);
  }

  @Test
  void permitsOneSuspectOfAGroupAtATime() {
    SuspectRunPermissions permissions = new SuspectRunPermissions();
    assertThat(permissions.requestRun(CRASHING, "a", "g", SuspicionLevel.SUSPECT, 0))
        .isEqualTo(Verdict.RUN);
    assertThat(permissions.requestRun(OTHER, "b", "g", SuspicionLevel.SUSPECT, 1))
        .isEqualTo(Verdict.WAIT);
    assertThat(permissions.requestRun(OTHER, "c", "other", SuspicionLevel.SUSPECT, 2))
        .isEqualTo(Verdict.RUN);

    permissions.runEnded(CRASHING, "x");
    assertThat(permissions.requestRun(fingerprint(3), "d", "g", SuspicionLevel.SUSPECT, 3))
        .isEqualTo(Verdict.WAIT);
    permissions.runEnded(CRASHING, "a");
    assertThat(permissions.requestRun(fingerprint(3), "d", "g", SuspicionLevel.SUSPECT, 4))
        .isEqualTo(Verdict.RUN);
  }

  @Test
  void permitsOneAttemptOfASuspectAtATime() {
    SuspectRunPermissions permissions = new SuspectRunPermissions();
    assertThat(permissions.requestRun(CRASHING, "a", "", SuspicionLevel.SUSPECT, 0))
        .isEqualTo(Verdict.RUN);
    assertThat(permissions.requestRun(CRASHING, "a", "", SuspicionLevel.SUSPECT, 1))
        .isEqualTo(Verdict.RUN);
    assertThat(permissions.requestRun(CRASHING, "b", "", SuspicionLevel.SUSPECT, 2))
        .isEqualTo(Verdict.WAIT);

    permissions.runEnded(CRASHING);
    assertThat(permissions.requestRun(CRASHING, "b", "", SuspicionLevel.SUSPECT, 3))
        .isEqualTo(Verdict.RUN);
    assertThat(permissions.requestRun(CRASHING, "c", "", SuspicionLevel.QUARANTINED, 4))
        .isEqualTo(Verdict.QUARANTINED);
  }
}
