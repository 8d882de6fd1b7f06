package org.mustardlatch.core.routing;

import static com.google.common.truth.Truth.assertThat;
import static org.mustardlatch.core.routing.Fixtures.MILLI;
import static org.mustardlatch.core.routing.Fixtures.OSLO;
import static org.mustardlatch.core.routing.Fixtures.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.manifest.Objective;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.peer.EvidenceMessage.CrashReport;
import org.mustardlatch.core.peer.EvidenceMessage.Verdict;

/** Guards against crash evidence that is lost, counted twice, or not used, by single nodes. */
class CrashEvidenceCoordinatorTest {
  private final List<RoutingCommand> commands = new ArrayList<>();
  private NodeRouter router;
  private long now = 1000 * SECOND;

  @BeforeEach
  void createRouter() {
    router = new NodeRouter(Fixtures.host(0), OSLO, 1, new SplittableRandom(1));
    handle(new RoutingEvent.MembersChanged(List.of(Fixtures.member(0, OSLO))));
    handle(
        new RoutingEvent.ManifestApplied(
            1, Fixtures.manifest(Objective.CREST_AVERSE, Fixtures.enginePools(2, 2))));
  }

  private void handle(RoutingEvent event) {
    router.handle(event, now, commands::add);
  }

  private <T> List<T> commandsOfType(Class<T> type) {
    return commands.stream().filter(type::isInstance).map(type::cast).toList();
  }

  private <T> T lastCommandOfType(Class<T> type) {
    return commandsOfType(type).getLast();
  }

  @Test
  void tellsARestartedNodeOfEarlierCrashes() {
    Member other = Fixtures.member(1, OSLO);
    handle(new RoutingEvent.MembersChanged(List.of(Fixtures.member(0, OSLO), other)));
    var running = List.of(Fixtures.fingerprint(1));
    handle(
        new RoutingEvent.UpstreamCrashed(
            new UpstreamId("app-1"), "app-1/7", running, now, List.of()));
    commands.clear();

    Member restarted =
        new Member(other.host(), other.region(), other.zone(), other.incarnation() + 1);
    handle(new RoutingEvent.MembersChanged(List.of(Fixtures.member(0, OSLO), restarted)));

    assertThat(commandsOfType(RoutingCommand.SendPeerMessage.class))
        .contains(
            new RoutingCommand.SendPeerMessage(
                other.host(), new CrashReport(new UpstreamId("app-1"), "app-1/7", running)));
  }

  @Test
  void reportsACrashAgainInCaseThatAMessageWasLost() {
    Member other = Fixtures.member(1, OSLO);
    handle(new RoutingEvent.MembersChanged(List.of(Fixtures.member(0, OSLO), other)));
    handle(
        new RoutingEvent.UpstreamCrashed(
            new UpstreamId("app-1"), "app-1/7", List.of(Fixtures.fingerprint(1)), now, List.of()));
    for (int i = 0; i < 60; i++) {
      now += 100 * MILLI;
      handle(new RoutingEvent.TimerFired(new TimerKey("tick", Fixtures.host(0).value())));
    }
    assertThat(
            commandsOfType(RoutingCommand.SendPeerMessage.class).stream()
                .filter(c -> c.message() instanceof CrashReport)
                .toList())
        .hasSize(4);
  }

  @Test
  void applicationRequestThatTwoUpstreamsCrashedUnderIsNotRunAgain() {
    Fingerprint content = Fixtures.fingerprint(1);
    for (String crash : List.of("app-1/7", "app-2/7")) {
      assertThat(decideApplicationRun(content)).isEqualTo(Verdict.RUN);
      handle(
          new RoutingEvent.UpstreamCrashed(
              new UpstreamId(crash.substring(0, 5)), crash, List.of(content), now, List.of()));
    }
    assertThat(decideApplicationRun(content)).isEqualTo(Verdict.QUARANTINED);
    assertThat(decideApplicationRun(Fixtures.fingerprint(2))).isEqualTo(Verdict.RUN);
  }

  @Test
  void upstreamThatCrashesAgainUnderTheSameIdentifierCountsTwice() {
    Fingerprint content = Fixtures.fingerprint(1);
    assertThat(crash(content, now)).isEqualTo(Verdict.RUN);
    now += 3 * SECOND;
    assertThat(crash(content, now)).isEqualTo(Verdict.QUARANTINED);
  }

  @Test
  void requestsSentBeforeACrashWasNoticedAreOnTheSameCrash() {
    Fingerprint content = Fixtures.fingerprint(1);
    assertThat(crash(content, now)).isEqualTo(Verdict.RUN);
    now += 300 * MILLI;
    assertThat(crash(content, now - 100 * MILLI)).isEqualTo(Verdict.RUN);
  }

  /** Reports a crash of the same process and returns whether the content may run after that. */
  private Verdict crash(Fingerprint content, long sentNanos) {
    handle(
        new RoutingEvent.UpstreamCrashed(
            new UpstreamId("app-1"), "app-1/7", List.of(content), sentNanos, List.of()));
    return decideApplicationRun(content);
  }

  @Test
  void suspectsOfAServiceRunOneAtATime() {
    Fingerprint first = Fixtures.fingerprint(1);
    Fingerprint second = Fixtures.fingerprint(2);
    handle(
        new RoutingEvent.UpstreamCrashed(
            new UpstreamId("app-1"), "app-1/7", List.of(first, second), now, List.of()));
    RequestId running = new RequestId("a1");
    requestApplicationRun(running, first);
    assertThat(lastCommandOfType(RoutingCommand.DecideApplicationRun.class).verdict())
        .isEqualTo(Verdict.RUN);

    int before = commandsOfType(RoutingCommand.DecideApplicationRun.class).size();
    requestApplicationRun(new RequestId("a2"), second);
    assertThat(commandsOfType(RoutingCommand.DecideApplicationRun.class)).hasSize(before);

    handle(new RoutingEvent.ApplicationRunCompleted(running, first, "app"));
    now += 50 * MILLI;
    handle(new RoutingEvent.TimerFired(new TimerKey("permission", "a2")));
    assertThat(lastCommandOfType(RoutingCommand.DecideApplicationRun.class))
        .isEqualTo(new RoutingCommand.DecideApplicationRun(new RequestId("a2"), Verdict.RUN, true));
  }

  @Test
  void suspectsWaitForARunThatItsCallerAbandonedAsItMayStillCrashTheUpstream() {
    Fingerprint first = Fixtures.fingerprint(1);
    Fingerprint second = Fixtures.fingerprint(2);
    handle(
        new RoutingEvent.UpstreamCrashed(
            new UpstreamId("app-1"), "app-1/7", List.of(first, second), now, List.of()));
    RequestId abandoned = new RequestId("a1");
    requestApplicationRun(abandoned, first);
    handle(new RoutingEvent.ApplicationRunEnded(abandoned, first, "app", true));
    int before = commandsOfType(RoutingCommand.DecideApplicationRun.class).size();
    requestApplicationRun(new RequestId("a2"), second);
    assertThat(commandsOfType(RoutingCommand.DecideApplicationRun.class)).hasSize(before);

    now += SECOND;
    handle(new RoutingEvent.TimerFired(new TimerKey("permission", "a1")));
    handle(new RoutingEvent.TimerFired(new TimerKey("permission", "a2")));
    assertThat(commandsOfType(RoutingCommand.DecideApplicationRun.class)).hasSize(before + 1);
  }

  private void requestApplicationRun(RequestId id, Fingerprint content) {
    handle(new RoutingEvent.ApplicationRunRequested(id, content, "app", now + 2 * SECOND));
  }

  private Verdict decideApplicationRun(Fingerprint content) {
    requestApplicationRun(new RequestId("a1"), content);
    return lastCommandOfType(RoutingCommand.DecideApplicationRun.class).verdict();
  }
}
