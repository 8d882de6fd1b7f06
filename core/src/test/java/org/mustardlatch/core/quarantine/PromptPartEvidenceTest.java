package org.mustardlatch.core.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.quarantine.PromptPartEvidence.Crash;
import org.mustardlatch.core.quarantine.PromptPartEvidence.Suspicion;

/** Guards against the quarantine of the wrong part of a prompt, and of none. */
class PromptPartEvidenceTest {
  private static final long SECOND = 1_000_000_000;
  private static final Fingerprint FIRST = part(1);
  private static final Fingerprint BAD = part(2);
  private static final Fingerprint OTHER = part(3);

  private final PromptPartEvidence evidence = new PromptPartEvidence();
  private long now = 1_000 * SECOND;
  private int crashCount;

  private static Fingerprint part(int number) {
    return new Fingerprint(String.format("%064x", number));
  }

  /** Records a crash one second after the last one, of requests that were sent just before it. */
  private void crash(Fingerprint... parts) {
    now += SECOND;
    recordCrash(now - SECOND / 10, parts);
  }

  private void recordCrash(long sentNanos, Fingerprint... parts) {
    crashCount++;
    Map<Fingerprint, Long> sent = new HashMap<>();
    List.of(parts).forEach(p -> sent.put(p, sentNanos));
    var unused = evidence.recordCrash(new Crash(new UpstreamId("e" + crashCount), now, sent), now);
  }

  private void complete(Fingerprint... parts) {
    now += SECOND / 10;
    var unused = evidence.clear(List.of(parts), now);
  }

  private Suspicion suspicion(Fingerprint... parts) {
    return evidence.suspicion(List.of(parts), now);
  }

  private static Suspicion quarantined(Fingerprint part) {
    return new Suspicion.Quarantined(part);
  }

  @Test
  void quarantinesAPartAfterThreeCrashesAndNotThePartsThatCompleteWithoutIt() {
    complete(FIRST);
    crash(FIRST, BAD);
    crash(FIRST, BAD);
    assertThat(suspicion(FIRST, BAD)).isEqualTo(new Suspicion.None());
    crash(FIRST, BAD);

    assertThat(suspicion(FIRST, BAD, OTHER)).isEqualTo(quarantined(BAD));
    assertThat(suspicion(FIRST, OTHER)).isEqualTo(new Suspicion.None());
  }

  @Test
  void countsOneCrashThatSeveralNodesReportOnce() {
    for (int i = 0; i < 5; i++) {
      Map<Fingerprint, Long> sent = Map.of(BAD, now - i);
      evidence.recordCrash(new Crash(new UpstreamId("e"), now + i * SECOND / 4, sent), now);
    }
    assertThat(evidence.crashes()).hasSize(1);
    assertThat(suspicion(BAD)).isEqualTo(new Suspicion.None());
  }

  @Test
  void reportsThatWereDelayedDoNotHideCrashesInARow() {
    for (int i = 1; i <= 3; i++) {
      reportCrash(i, SECOND / 2 - i * SECOND / 20);
    }
    assertThat(suspicion(BAD)).isEqualTo(new Suspicion.None());
    for (int i = 1; i <= 3; i++) {
      reportCrash(i, 0);
    }

    assertThat(suspicion(BAD)).isEqualTo(quarantined(BAD));
  }

  /**
   * Records a report of one of several crashes, 40 ms apart, of requests that were each sent after
   * the crash before.
   */
  private void reportCrash(int number, long delayNanos) {
    long crash = now + number * SECOND / 25 + delayNanos;
    Map<Fingerprint, Long> sent = Map.of(BAD, crash - SECOND / 50);
    evidence.recordCrash(new Crash(new UpstreamId("e" + number), crash, sent), crash);
  }

  @Test
  void countsEnginesThatCrashTogetherOnce() {
    long sent = now;
    for (int i = 0; i < 5; i++) {
      now += SECOND;
      recordCrash(sent, OTHER);
    }
    assertThat(suspicion(OTHER)).isEqualTo(new Suspicion.None());
  }

  @Test
  void completedRequestClearsItsPartsOfEarlierCrashes() {
    crash(OTHER);
    crash(OTHER);
    complete(OTHER);
    crash(OTHER);

    assertThat(suspicion(OTHER)).isEqualTo(new Suspicion.None());
  }

  @Test
  void lateReportOfACrashBeforeTheClearingDoesNotCount() {
    complete(OTHER);
    for (int i = 0; i < 8; i++) {
      recordCrash(now - SECOND, OTHER);
    }
    assertThat(suspicion(OTHER)).isEqualTo(new Suspicion.None());
  }

  @Test
  void quarantinesAPartThatOnceCompletedAfterMoreCrashes() {
    complete(BAD);
    for (int i = 0; i < 5; i++) {
      crash(BAD);
    }
    assertThat(suspicion(BAD)).isEqualTo(new Suspicion.None());
    crash(BAD);
    assertThat(suspicion(BAD)).isEqualTo(quarantined(BAD));
  }

  @Test
  void refusesOnlyPromptsWithAllPartsThatMayBeTheCause() {
    crash(FIRST, BAD);
    crash(FIRST, BAD);
    crash(FIRST, BAD);

    assertThat(suspicion(FIRST, BAD)).isEqualTo(quarantined(FIRST));
    assertThat(suspicion(FIRST, OTHER)).isEqualTo(new Suspicion.Suspect(FIRST));
    assertThat(suspicion(OTHER)).isEqualTo(new Suspicion.None());
  }

  @Test
  void promptsWithMostOfTheSuspectPartsRunOnlyIfNoOthersCome() {
    for (int i = 0; i < 3; i++) {
      crash(FIRST, BAD, OTHER);
    }
    assertThat(suspicion(FIRST, OTHER)).isEqualTo(quarantined(FIRST));
    assertThat(suspicion(FIRST)).isEqualTo(new Suspicion.Suspect(FIRST));
    now += 5 * SECOND;
    assertThat(suspicion(FIRST, OTHER)).isEqualTo(new Suspicion.Suspect(FIRST));
    assertThat(suspicion(FIRST, OTHER, BAD)).isEqualTo(quarantined(FIRST));
  }

  @Test
  void completedRunOfASuspectTellsWhichPartIsTheCause() {
    crash(FIRST, BAD);
    crash(FIRST, BAD);
    crash(FIRST, BAD);
    complete(FIRST, OTHER);

    assertThat(suspicion(FIRST, OTHER)).isEqualTo(new Suspicion.None());
    assertThat(suspicion(FIRST, BAD)).isEqualTo(quarantined(BAD));
  }

  @Test
  void crashedRunsOfSuspectsTellWhichPartIsTheCause() {
    crash(FIRST, BAD);
    crash(FIRST, BAD);
    crash(FIRST, BAD);
    crash(OTHER, BAD);
    crash(OTHER, BAD);

    assertThat(suspicion(BAD)).isEqualTo(quarantined(BAD));
    assertThat(suspicion(FIRST, OTHER)).isEqualTo(new Suspicion.None());
  }

  @Test
  void crashesOfAQuarantinedPartAreNoEvidenceAgainstOthers() {
    complete(FIRST);
    for (int i = 0; i < 10; i++) {
      crash(FIRST, BAD, OTHER, part(100 + i));
      complete(OTHER);
    }
    assertThat(evidence.quarantined()).containsExactly(BAD);
    assertThat(suspicion(FIRST)).isEqualTo(new Suspicion.None());
  }

  @Test
  void findsTwoPartsThatCrashEngines() {
    Fingerprint second = part(4);
    complete(FIRST);
    for (int i = 0; i < 3; i++) {
      crash(FIRST, BAD);
      crash(FIRST, second);
    }
    assertThat(evidence.quarantined()).containsExactly(BAD, second);
  }

  @Test
  void suspectsThatCannotBeToldApartDoNotHideAnotherPart() {
    for (int i = 0; i < 5; i++) {
      crash(part(5), part(6));
    }
    for (int i = 0; i < 3; i++) {
      crash(FIRST, BAD);
    }
    complete(FIRST);
    assertThat(suspicion(FIRST, BAD)).isEqualTo(quarantined(BAD));
  }

  @Test
  void repeatedReportsOfACrashDoNotDelayTheRunsOfSuspects() {
    for (int i = 0; i < 3; i++) {
      crash(FIRST, BAD, OTHER);
    }
    Crash last = evidence.crashes().getLast();
    now += 5 * SECOND;
    evidence.recordCrash(last, now);
    assertThat(suspicion(FIRST, OTHER)).isEqualTo(new Suspicion.Suspect(FIRST));
  }

  @Test
  void partThatQualifiesFirstIsNotTakenForTheCauseOfSharedCrashes() {
    for (int i = 0; i < 3; i++) {
      now += SECOND;
      Map<Fingerprint, Long> sent = Map.of(OTHER, now - 10, BAD, 1_000 * SECOND);
      evidence.recordCrash(new Crash(new UpstreamId("e" + i), now, sent), now);
    }
    assertThat(evidence.quarantined()).isEmpty();
    complete(OTHER);
    assertThat(suspicion(OTHER)).isEqualTo(new Suspicion.None());
  }

  @Test
  void completedRunEndsAQuarantine() {
    crash(OTHER);
    crash(OTHER);
    crash(OTHER);
    assertThat(suspicion(OTHER)).isEqualTo(quarantined(OTHER));
    complete(OTHER);
    assertThat(suspicion(OTHER)).isEqualTo(new Suspicion.None());
  }

  @Test
  void evidenceAndQuarantineExpire() {
    crash(BAD);
    crash(BAD);
    crash(BAD);
    evidence.expire(now + PromptPartEvidence.LIFETIME_NANOS);

    assertThat(evidence.crashes()).isEmpty();
    assertThat(suspicion(BAD)).isEqualTo(new Suspicion.None());
  }

  @Test
  void recordIsBounded() {
    List<Fingerprint> parts = new ArrayList<>();
    for (int i = 0; i < PromptPartEvidence.MAX_CLEARED_PARTS + 10; i++) {
      parts.add(part(1_000 + i));
    }
    var unused = evidence.clear(parts, now);
    for (int i = 0; i < PromptPartEvidence.MAX_CRASHES + 10; i++) {
      recordCrash(now, OTHER);
    }
    assertThat(evidence.crashes()).hasSize(PromptPartEvidence.MAX_CRASHES);
  }
}
