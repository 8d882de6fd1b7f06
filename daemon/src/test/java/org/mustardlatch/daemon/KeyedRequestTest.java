package org.mustardlatch.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mustardlatch.standin.ApplicationStandin;
import org.mustardlatch.standin.EngineOptions;

/**
 * Guards against keyed requests (those with an idempotency key) that are executed twice or get a
 * wrong response, also when they are repeated at another daemon.
 */
class KeyedRequestTest {
  private final ApplicationStandin application = new ApplicationStandin(0);
  private final InProcessFleet fleet =
      new InProcessFleet(
          EngineOptions.fast("prefill-1", "prefill"), EngineOptions.fast("d-1", "decode"));

  @BeforeEach
  void publishRoutes() {
    application.start();
    fleet.publish(InProcessFleet.orderRoutes(application.url()));
  }

  @AfterEach
  void close() {
    fleet.close();
    application.stop();
  }

  @Test
  void aRepeatedConfirmationRunsOnceAndGetsTheRecordedResponseAtEveryNode() {
    TestHttpClient.Response first = confirm(fleet.daemon(), "key-1", "{\"order\":1}");
    assertThat(first.toString()).startsWith("201 ");
    Daemon other = fleet.startAnother("entry-2", 0);
    try {
      TestHttpClient.Response repeat = confirm(other, "key-1", "{\"order\":1}");
      assertThat(repeat.toString()).isEqualTo(first.toString());
      assertThat(repeat.header("content-type")).isEqualTo(first.header("content-type"));
    } finally {
      other.stop();
    }
    assertThat(application.runs("key-1")).isEqualTo(1);
  }

  @Test
  void aKeyReusedWithAnotherBodyIsRefused() {
    confirm(fleet.daemon(), "key-2", "{\"order\":1}");
    assertThat(confirm(fleet.daemon(), "key-2", "{\"order\":2}").errorCode())
        .isEqualTo("idempotency_key_reused");
    assertThat(application.runs("key-2")).isEqualTo(1);
  }

  @Test
  void aConfirmationWithALostResponseIsReportedAsUnknownAndNotRepeated() {
    application.faults().loseAnswers(true);
    assertThat(confirm(fleet.daemon(), "key-3", "{}").errorCode()).isEqualTo("outcome_unknown");
    application.faults().loseAnswers(false);
    assertThat(confirm(fleet.daemon(), "key-3", "{}").errorCode()).isEqualTo("outcome_unknown");
    assertThat(application.runs("key-3")).isEqualTo(1);
  }

  @Test
  void anUnreachableServiceIsReportedAsNotRunAndTheSameKeySucceedsLater() {
    application.stop();
    TestHttpClient.Response refused = confirm(fleet.daemon(), "key-4", "{}");
    assertThat(refused.status()).isEqualTo(503);
    assertThat(refused.body()).contains("not run");
    application.start();
    Await.until(
        "the key works again",
        Duration.ofSeconds(5),
        () -> confirm(fleet.daemon(), "key-4", "{}").status() == 201);
    assertThat(application.runs("key-4")).isEqualTo(1);
  }

  @Test
  void aConfirmationRequiresAKeyAndALookUpDoesNot() {
    TestHttpClient.Response response =
        TestHttpClient.post(fleet.url("/orders/confirm"), "{}", "application/json");
    assertThat(response.errorCode()).isEqualTo("invalid_argument");
    TestHttpClient.Response status = TestHttpClient.get(fleet.url("/orders/status/7?full=yes"));
    assertThat(status.json().path("path").asText()).isEqualTo("/orders/status/7");
    assertThat(status.json().path("query").asText()).isEqualTo("full=yes");
  }

  private static TestHttpClient.Response confirm(Daemon daemon, String key, String body) {
    return TestHttpClient.post(
        InProcessFleet.url(daemon.callerPort(), "/orders/confirm"),
        body,
        "application/json",
        "Idempotency-Key",
        key);
  }
}
