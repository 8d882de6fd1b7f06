package org.mustardlatch.core.routing;

import static com.google.common.truth.Truth.assertThat;
import static org.mustardlatch.core.routing.Fixtures.OSLO;
import static org.mustardlatch.core.routing.Fixtures.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.peer.EvidenceMessage.RateLimitNotice;

/**
 * Guards against a node that has just started and sends an upstream all it has, because it has not
 * yet seen an answer that states the upstream's limit.
 */
class JoiningNodeLimitsTest {
  private static final UpstreamId LIMITED = new UpstreamId("app-1");

  private final List<RoutingCommand> commands = new ArrayList<>();
  private final NodeRouter router =
      new NodeRouter(Fixtures.host(0), OSLO, 1, new SplittableRandom(1));
  private long now = 1000 * SECOND;

  private void handle(RoutingEvent event) {
    router.handle(event, now, commands::add);
  }

  private List<RateLimitNotice> noticesTo(int node) {
    return commands.stream()
        .filter(RoutingCommand.SendPeerMessage.class::isInstance)
        .map(RoutingCommand.SendPeerMessage.class::cast)
        .filter(c -> c.to().equals(Fixtures.host(node)))
        .map(RoutingCommand.SendPeerMessage::message)
        .filter(RateLimitNotice.class::isInstance)
        .map(RateLimitNotice.class::cast)
        .toList();
  }

  private void stateLimitLongAgo() {
    handle(new RoutingEvent.MembersChanged(List.of(Fixtures.member(0, OSLO))));
    handle(new RoutingEvent.UpstreamLimitStated(LIMITED, OptionalDouble.of(3.6)));
    now += 30 * SECOND;
    commands.clear();
  }

  @Test
  void nodeThatJoinsIsToldOfStatedLimits() {
    stateLimitLongAgo();
    handle(
        new RoutingEvent.MembersChanged(
            List.of(Fixtures.member(0, OSLO), Fixtures.member(1, OSLO))));

    assertThat(noticesTo(1))
        .containsExactly(new RateLimitNotice(LIMITED, OptionalDouble.of(3.6), 30 * SECOND));
  }

  @Test
  void nodeThatRestartsIsToldAgain() {
    stateLimitLongAgo();
    Member first = Fixtures.member(1, OSLO);
    handle(new RoutingEvent.MembersChanged(List.of(Fixtures.member(0, OSLO), first)));
    commands.clear();
    Member restarted = new Member(first.host(), first.region(), first.zone(), 2);
    handle(new RoutingEvent.MembersChanged(List.of(Fixtures.member(0, OSLO), restarted)));

    assertThat(noticesTo(1)).hasSize(1);
  }
}
