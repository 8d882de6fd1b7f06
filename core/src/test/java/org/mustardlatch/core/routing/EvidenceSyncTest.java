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
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.peer.EvidenceMessage.CrashReport;
import org.mustardlatch.core.peer.EvidenceMessage.EvidenceRequest;
import org.mustardlatch.core.peer.EvidenceMessage.EvidenceSent;
import org.mustardlatch.core.peer.PeerMessage;

/** Guards against a node that counts as informed before it knows what the fleet refuses. */
class EvidenceSyncTest {
  private final List<RoutingCommand> commands = new ArrayList<>();
  private final Member first = Fixtures.member(1, OSLO);
  private final Member second = Fixtures.member(2, OSLO);
  private NodeRouter router;
  private long now = 1000 * SECOND;

  @BeforeEach
  void createRouter() {
    router = new NodeRouter(Fixtures.host(0), OSLO, 1, new SplittableRandom(1));
    handle(new RoutingEvent.MembersChanged(List.of(Fixtures.member(0, OSLO))));
  }

  private void handle(RoutingEvent event) {
    router.handle(event, now, commands::add);
  }

  private void join() {
    handle(new RoutingEvent.MembersChanged(List.of(Fixtures.member(0, OSLO), first, second)));
  }

  private void receive(Member from, PeerMessage message) {
    handle(new RoutingEvent.PeerMessageReceived(from.host(), message));
  }

  private List<PeerMessage> sentTo(Member to) {
    return commands.stream()
        .filter(RoutingCommand.SendPeerMessage.class::isInstance)
        .map(RoutingCommand.SendPeerMessage.class::cast)
        .filter(c -> c.to().equals(to.host()))
        .map(RoutingCommand.SendPeerMessage::message)
        .toList();
  }

  @Test
  void oneNodeThatKnowsIsEnough() {
    join();
    assertThat(sentTo(first)).contains(new EvidenceRequest());
    assertThat(router.knowsFleetEvidence()).isFalse();
    receive(first, new EvidenceSent(true));
    assertThat(router.knowsFleetEvidence()).isTrue();
  }

  @Test
  void nodeThatHasJustStartedItselfIsNotEnoughWhileAnotherHasNotResponded() {
    join();
    receive(first, new EvidenceSent(false));
    assertThat(router.knowsFleetEvidence()).isFalse();
    receive(second, new EvidenceSent(false));
    assertThat(router.knowsFleetEvidence()).isTrue();
  }

  @Test
  void requestThatMayBeLostIsRepeated() {
    join();
    commands.clear();
    for (int i = 0; i < 4; i++) {
      now += 100 * MILLI;
      handle(new RoutingEvent.TimerFired(new TimerKey("tick", Fixtures.host(0).value())));
    }
    assertThat(sentTo(second)).contains(new EvidenceRequest());
  }

  @Test
  void evidenceIsSentBeforeItsEnd() {
    join();
    handle(
        new RoutingEvent.UpstreamCrashed(
            new UpstreamId("app-1"), "app-1/7", List.of(Fixtures.fingerprint(1)), now, List.of()));
    commands.clear();
    receive(second, new EvidenceRequest());
    List<PeerMessage> sent = sentTo(second);
    assertThat(sent.getFirst()).isInstanceOf(CrashReport.class);
    assertThat(sent.getLast()).isEqualTo(new EvidenceSent(false));
  }
}
