package org.mustardlatch.core.routing;

import static com.google.common.truth.Truth.assertThat;
import static org.mustardlatch.core.routing.Fixtures.OSLO;
import static org.mustardlatch.core.routing.Fixtures.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.manifest.Objective;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.peer.EvidenceMessage.PromptCrashReport;
import org.mustardlatch.core.peer.EvidenceMessage.PromptPartRun;
import org.mustardlatch.core.peer.EvidenceMessage.PromptPartsCleared;
import org.mustardlatch.core.peer.EvidenceMessage.RunPermission;
import org.mustardlatch.core.peer.EvidenceMessage.RunRequest;
import org.mustardlatch.core.peer.EvidenceMessage.Verdict;
import org.mustardlatch.core.peer.PeerMessage;

/** Guards against evidence about prompt parts that is lost between nodes or misused by one. */
class PromptPartQuarantineTest {
  private static final Fingerprint FIRST = Fixtures.fingerprint(1);
  private static final Fingerprint SECOND_PART = Fixtures.fingerprint(2);

  private final List<RoutingCommand> commands = new ArrayList<>();
  private final Member other = Fixtures.member(1, OSLO);
  private NodeRouter router;
  private long now = 1000 * SECOND;

  @BeforeEach
  void createRouter() {
    router = new NodeRouter(Fixtures.host(0), OSLO, 1, new SplittableRandom(1));
    handle(new RoutingEvent.MembersChanged(List.of(Fixtures.member(0, OSLO), other)));
    handle(
        new RoutingEvent.ManifestApplied(
            1, Fixtures.manifest(Objective.CREST_AVERSE, Fixtures.enginePools(2, 2))));
    for (int i = 0; i < 3; i++) {
      now += SECOND;
      receive(report(i, 0));
    }
  }

  private void handle(RoutingEvent event) {
    router.handle(event, now, commands::add);
  }

  private void receive(PeerMessage message) {
    handle(new RoutingEvent.PeerMessageReceived(other.host(), message));
  }

  /** Returns the report of a crash of requests that were sent half a second before it. */
  private static PromptCrashReport report(int engine, long ageNanos) {
    return new PromptCrashReport(
        new UpstreamId("e" + engine),
        ageNanos,
        List.of(new PromptPartRun(FIRST, SECOND / 2), new PromptPartRun(SECOND_PART, SECOND / 2)));
  }

  private Verdict requestRun(String attempt) {
    receive(new RunRequest(FIRST, attempt, ""));
    return commands.stream()
        .filter(RoutingCommand.SendPeerMessage.class::isInstance)
        .map(c -> ((RoutingCommand.SendPeerMessage) c).message())
        .filter(RunPermission.class::isInstance)
        .map(m -> ((RunPermission) m).verdict())
        .toList()
        .getLast();
  }

  @Test
  void promptsThatWereAbandonedBeforeTheEngineCrashedAreEvidence() {
    Fingerprint part = Fixtures.fingerprint(3);
    for (int i = 0; i < 3; i++) {
      now += 3 * SECOND;
      handle(
          new RoutingEvent.UpstreamCrashed(
              new UpstreamId("d" + i),
              "d" + i + "/7",
              List.of(Fixtures.fingerprint(10 + i)),
              now - SECOND,
              List.of(new RoutingEvent.AbandonedPrompt(List.of(part), now - SECOND))));
    }

    assertThat(
            commands.stream()
                .filter(RoutingCommand.Explain.class::isInstance)
                .map(c -> ((RoutingCommand.Explain) c).rule()))
        .contains("prompt_part_quarantined");
  }

  @Test
  void oneRunOfASuspectPartIsPermittedAtATime() {
    assertThat(requestRun("a")).isEqualTo(Verdict.RUN);
    assertThat(requestRun("b")).isEqualTo(Verdict.WAIT);
  }

  /** Has a request arrive and returns whether it runs at once as a test of its suspect part. */
  private boolean arrivesAndRuns(String id, Fingerprint part) {
    commands.clear();
    handle(
        new RoutingEvent.RequestArrived(
            Fixtures.request(id, 100, now).withPromptParts(List.of(part))));
    return commands.stream()
        .filter(RoutingCommand.Explain.class::isInstance)
        .map(c -> ((RoutingCommand.Explain) c).rule())
        .anyMatch("suspect_permitted"::equals);
  }

  @Test
  void requestsWithPartsThatCannotBeToldApartRunOneAtATime() {
    handle(new RoutingEvent.MembersChanged(List.of(Fixtures.member(0, OSLO))));
    assertThat(arrivesAndRuns("a", FIRST)).isTrue();
    assertThat(arrivesAndRuns("b", SECOND_PART)).isFalse();
  }

  @Test
  void repeatedReportOfACrashDoesNotEndTheRunOfASuspect() {
    assertThat(requestRun("a")).isEqualTo(Verdict.RUN);
    now += SECOND;
    receive(report(2, SECOND));
    assertThat(requestRun("b")).isEqualTo(Verdict.WAIT);
  }

  @Test
  void clearedPartMayRunAndTheOtherOneIsQuarantined() {
    receive(new PromptPartsCleared("n1/1", List.of(FIRST)));
    assertThat(requestRun("a")).isEqualTo(Verdict.RUN);
    assertThat(requestRun("b")).isEqualTo(Verdict.RUN);
    receive(new RunRequest(SECOND_PART, "c", ""));
    assertThat(commands.getLast())
        .isEqualTo(
            new RoutingCommand.SendPeerMessage(
                other.host(), new RunPermission(SECOND_PART, "c", Verdict.QUARANTINED)));
  }

  @Test
  void joiningNodeIsToldOfTheCrashes() {
    commands.clear();
    handle(
        new RoutingEvent.MembersChanged(
            List.of(Fixtures.member(0, OSLO), other, Fixtures.member(2, OSLO))));
    assertThat(
            commands.stream()
                .filter(RoutingCommand.SendPeerMessage.class::isInstance)
                .map(RoutingCommand.SendPeerMessage.class::cast)
                .filter(c -> c.to().equals(Fixtures.host(2)))
                .filter(c -> c.message() instanceof PromptCrashReport)
                .toList())
        .hasSize(3);
  }
}
