package org.mustardlatch.core.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.peer.EvidenceMessage.Verdict;
import org.mustardlatch.core.quarantine.CrashEvidence.Standing;

class CrashEvidenceTest {
  private static final Fingerprint POISON = fingerprint(1);
  private static final Fingerprint OTHER = fingerprint(2);

  private final CrashEvidence evidence = new CrashEvidence();

  private static Fingerprint fingerprint(int number) {
    return new Fingerprint(String.format("%064x", number));
  }

  @Test
  void quarantinesAfterTwoDifferentCrashes() {
    evidence.crashed("c1", List.of(POISON, OTHER), 0);
    assertThat(evidence.standing(POISON, 0)).isEqualTo(Standing.SUSPECT);

    evidence.crashed("c2", List.of(POISON), 1);
    assertThat(evidence.standing(POISON, 1)).isEqualTo(Standing.QUARANTINED);
    assertThat(evidence.standing(OTHER, 1)).isEqualTo(Standing.SUSPECT);
  }

  @Test
  void countsACrashThatIsReportedTwiceOnce() {
    evidence.crashed("c1", List.of(POISON), 0);
    evidence.crashed("c1", List.of(POISON), 1);

    assertThat(evidence.standing(POISON, 1)).isEqualTo(Standing.SUSPECT);
  }

  @Test
  void clearsASuspectButNotAQuarantine() {
    evidence.crashed("c1", List.of(POISON, OTHER), 0);
    evidence.crashed("c2", List.of(POISON), 0);
    evidence.clear(POISON);
    evidence.clear(OTHER);

    assertThat(evidence.standing(POISON, 0)).isEqualTo(Standing.QUARANTINED);
    assertThat(evidence.standing(OTHER, 0)).isEqualTo(Standing.CLEAN);
  }

  @Test
  void forgetsEvidenceTenMinutesAfterTheLastCrash() {
    evidence.crashed("c1", List.of(POISON), 0);
    evidence.crashed("c2", List.of(POISON), 1);

    assertThat(evidence.standing(POISON, CrashEvidence.LIFETIME_NANOS))
        .isEqualTo(Standing.QUARANTINED);
    assertThat(evidence.standing(POISON, CrashEvidence.LIFETIME_NANOS + 1))
        .isEqualTo(Standing.CLEAN);
  }

  @Test
  void keepsABoundedNumberOfFingerprints() {
    for (int i = 0; i <= CrashEvidence.MAX_FINGERPRINTS; i++) {
      evidence.crashed("c" + i, List.of(fingerprint(i)), i);
    }
    assertThat(evidence.size()).isEqualTo(CrashEvidence.MAX_FINGERPRINTS);
    assertThat(evidence.standing(fingerprint(0), 0)).isEqualTo(Standing.CLEAN);
  }

  @Test
  void letsOneAttemptOfASuspectRunAtATime() {
    SuspectRuns runs = new SuspectRuns();
    assertThat(runs.ask(POISON, "a", Standing.SUSPECT, 0)).isEqualTo(Verdict.RUN);
    assertThat(runs.ask(POISON, "a", Standing.SUSPECT, 1)).isEqualTo(Verdict.RUN);
    assertThat(runs.ask(POISON, "b", Standing.SUSPECT, 2)).isEqualTo(Verdict.WAIT);

    runs.ended(POISON);
    assertThat(runs.ask(POISON, "b", Standing.SUSPECT, 3)).isEqualTo(Verdict.RUN);
    assertThat(runs.ask(POISON, "c", Standing.QUARANTINED, 4)).isEqualTo(Verdict.QUARANTINED);
  }
}
