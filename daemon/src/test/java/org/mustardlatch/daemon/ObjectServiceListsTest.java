package org.mustardlatch.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.net.URI;
import java.net.http.HttpRequest;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.mustardlatch.standin.EngineOptions;

/**
 * Guards against two faults in the use of object service lists: the host list is not read, so that
 * leaving hosts get new work, or the node list is not read, so that nodes can join only by seeds.
 */
class ObjectServiceListsTest {
  private final InProcessFleet fleet =
      new InProcessFleet(
          EngineOptions.fast("prefill-1", "prefill"),
          EngineOptions.fast("decode-1", "decode"),
          EngineOptions.fast("decode-2", "decode"));

  @AfterEach
  void close() {
    fleet.close();
  }

  @Test
  void anUpstreamOnALeavingHostGetsNoNewWorkWithinFiveSeconds() {
    String leaving = fleet.engine(1).url().getAuthority();
    String list =
        """
        {"metadata": {"resourceVersion": ""},
         "spec": {"hosts": [{"address": "%s", "state": "leaving"}]}}"""
            .formatted(leaving);
    URI object = URI.create(fleet.store().url() + "/apis/mustardlatch.org/v1/hosts/current");
    HttpRequest put =
        HttpRequest.newBuilder(object).PUT(HttpRequest.BodyPublishers.ofString(list)).build();
    assertThat(TestHttpClient.send(put).status()).isAnyOf(200, 201);
    Await.until("five seconds passed", Duration.ofSeconds(10), elapsed(Duration.ofSeconds(5)));
    for (int i = 0; i < 20; i++) {
      TestHttpClient.Response response =
          InProcessFleet.complete(fleet.daemon().callerPort(), "names " + i, 2, false);
      String id = response.header("x-request-id");
      String explained = TestHttpClient.get(fleet.operatorUrl("/explain/" + id)).body();
      assertThat(explained).contains("decode=decode-2");
      assertThat(explained).doesNotContain("decode=decode-1");
    }
  }

  @Test
  void nodesWithoutSeedsDiscoverEachOtherThroughTheObjectService() {
    Daemon other = fleet.startAnother("entry-2", 0);
    try {
      Await.until(
          "two members",
          Duration.ofSeconds(30),
          () ->
              TestHttpClient.get(fleet.operatorUrl("/status")).json().path("members").size() == 2
                  && TestHttpClient.get(InProcessFleet.url(other.operatorPort(), "/status"))
                          .json()
                          .path("members")
                          .size()
                      == 2);
    } finally {
      other.stop();
    }
  }

  private static BooleanSupplier elapsed(Duration duration) {
    long endNanos = System.nanoTime() + duration.toNanos();
    return () -> System.nanoTime() - endNanos >= 0;
  }
}
