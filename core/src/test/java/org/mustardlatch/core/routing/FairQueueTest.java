package org.mustardlatch.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.model.WorkspaceId;

class FairQueueTest {
  private final FairQueue queue = new FairQueue();

  private static ReservationRequest request(String workspace, int number) {
    return new ReservationRequest(
        new AttemptId(new RequestId(workspace + number), 1),
        Fixtures.host(0),
        new WorkspaceId(workspace),
        1000,
        100,
        List.of(),
        Fixtures.fingerprint(number),
        null,
        0,
        0,
        List.of(),
        GenerationRequest.DEFAULT_RANK);
  }

  private List<String> serve(int count) {
    List<String> served = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ReservationRequest next = queue.nextRequests(1).getFirst();
      queue.removeServed(next.attempt());
      served.add(next.workspace().value());
    }
    return served;
  }

  @Test
  void sharesServiceByWeightRegardlessOfRequestCount() {
    for (int i = 0; i < 30; i++) {
      queue.add(request("many", i), 1);
    }
    for (int i = 0; i < 10; i++) {
      queue.add(request("few", i), 2);
    }
    List<String> served = serve(9);

    assertThat(served.stream().filter("few"::equals).count()).isEqualTo(6);
  }

  @Test
  void servesAPreviouslyIdleWorkspaceNextWithoutCreditForIdleTime() {
    for (int i = 0; i < 20; i++) {
      queue.add(request("busy", i), 1);
    }
    serve(10);
    queue.add(request("late", 1), 1);
    queue.add(request("late", 2), 1);
    queue.add(request("late", 3), 1);

    assertThat(serve(5).stream().filter("late"::equals).count()).isAtMost(3);
    assertThat(queue.size()).isEqualTo(8);
  }

  @Test
  void countsQueuedTokensWithoutRemovedRequests() {
    queue.add(request("a", 1), 1);
    queue.add(request("a", 2), 1);
    assertThat(queue.all().promptTokens()).isEqualTo(2000);

    queue.remove(request("a", 1).attempt());
    queue.remove(request("a", 1).attempt());
    assertThat(queue.all().promptTokens()).isEqualTo(1000);
    assertThat(queue.contains(request("a", 1).attempt())).isFalse();
  }
}
