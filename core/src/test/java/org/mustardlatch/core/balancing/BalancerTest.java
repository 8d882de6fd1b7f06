package org.mustardlatch.core.balancing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.model.UpstreamId;

/** Guards against requests that queue at one upstream while another one has free capacity. */
class BalancerTest {
  private static final long MILLI = 1_000_000;
  private static final UpstreamId NEAR = new UpstreamId("near");
  private static final UpstreamId FAR = new UpstreamId("far");

  private final Balancer balancer = new Balancer();
  private final List<Candidate> candidates =
      List.of(new Candidate(NEAR, 2, MILLI), new Candidate(FAR, 2, 25 * MILLI));

  private UpstreamId choose(long now) {
    return Objects.requireNonNull(balancer.choose(candidates, Set.of(), now)).id();
  }

  @Test
  void prefersNearUpstreamWhileItHasFreeSlots() {
    assertThat(choose(0)).isEqualTo(NEAR);
    balancer.requestSent(NEAR);
    assertThat(choose(0)).isEqualTo(NEAR);
  }

  @Test
  void choosesFarUpstreamWhenQueueingAtTheNearOneTakesLongerThanTheRoundTrip() {
    for (int i = 0; i < 5; i++) {
      balancer.requestSent(NEAR);
    }

    assertThat(choose(0)).isEqualTo(FAR);
  }

  @Test
  void avoidsSlowUpstreamWhileItsReportedLoadIsRecent() {
    balancer.requestSent(NEAR);
    balancer.responseReceived(NEAR, 50 * MILLI, new UpstreamLoad(1, 0, 2, 2.5), 0);

    assertThat(choose(MILLI)).isEqualTo(FAR);
    assertThat(choose(1_000 * MILLI)).isEqualTo(NEAR);
  }

  @Test
  void avoidsFailedUpstreamUnlessItIsTheOnlyCandidateLeft() {
    balancer.requestSent(NEAR);
    balancer.requestFailed(NEAR, 0);

    assertThat(choose(MILLI)).isEqualTo(FAR);
    assertThat(Objects.requireNonNull(balancer.choose(candidates, Set.of(FAR), MILLI)).id())
        .isEqualTo(NEAR);
  }

  @Test
  void neverChoosesAnUpstreamThatFailedTheRequest() {
    assertThat(balancer.choose(candidates, Set.of(NEAR, FAR), 0)).isNull();
  }
}
