package org.mustardlatch.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.mustardlatch.standin.ApplicationStandin;
import org.mustardlatch.standin.EngineOptions;
import org.mustardlatch.standin.ObjectServiceFaults;

/**
 * Guards against unintended changes of the responses to callers, by comparing whole sessions with
 * golden files.
 */
class GoldenSessionTest {
  private static final String JSON = "application/json";

  private final ApplicationStandin orders = new ApplicationStandin(0);
  private final InProcessFleet fleet =
      new InProcessFleet(
          EngineOptions.fast("prefill-1", "prefill"),
          EngineOptions.fast("decode-1", "decode"),
          EngineOptions.fast("decode-2", "decode"));

  GoldenSessionTest() {
    orders.start();
    fleet.publish(InProcessFleet.orderRoutes(orders.url()));
  }

  @AfterEach
  void close() {
    fleet.close();
    orders.stop();
  }

  private int port() {
    return fleet.daemon().callerPort();
  }

  @Test
  void callerSession() {
    SessionRecorder session = new SessionRecorder("caller");
    session.call(port(), "GET", "/v1/models", "");
    generate(session, InProcessFleet.completionBody("Anna and Juan", 4, true));
    generate(session, InProcessFleet.completionBody("Anna and Juan", 4, false));
    session.step("mistakes of callers; each gets an error with a code and the next call works");
    generate(session, "{\"model\": \"wording\", \"prompt\": ");
    generate(session, "{\"model\": \"unknown\", \"prompt\": \"x\"}");
    generate(session, "{\"prompt\": \"x\"}");
    generate(session, "{\"model\": \"wording\", \"prompt\": \"x\", \"max_tokens\": -1}");
    session.call(
        port(),
        "POST",
        "/v1/completions",
        InProcessFleet.completionBody("x", 1, false),
        "Content-Type",
        JSON,
        "Authorization",
        "Bearer wrong");
    session.call(port(), "GET", "/nowhere", "");
    generate(session, InProcessFleet.completionBody("x", 2, false));
    session.assertMatchesGoldenFile();
  }

  @Test
  void confirmationSession() {
    SessionRecorder session = new SessionRecorder("confirmation");
    Daemon other = fleet.startAnother("entry-2", 0);
    confirm(session, port(), "order-1", "{\"order\": 1}");
    session.step("the repeat at another node gets the recorded answer");
    confirm(session, other.callerPort(), "order-1", "{\"order\": 1}");
    session.step("the key is used for another body");
    confirm(session, port(), "order-1", "{\"order\": 2}");
    session.step("the service runs the order and loses the answer");
    orders.faults().loseAnswers(true);
    confirm(session, port(), "order-2", "{\"order\": 2}");
    orders.faults().loseAnswers(false);
    confirm(session, other.callerPort(), "order-2", "{\"order\": 2}");
    session.step("the object service is down");
    fleet.store().setFaults(ObjectServiceFaults.DOWN);
    confirm(session, port(), "order-3", "{\"order\": 3}");
    session.call(port(), "GET", "/orders/status", "");
    generate(session, InProcessFleet.completionBody("goes on", 2, false));
    session.step("the object service is back; the caller repeats until it is accepted");
    fleet.store().setFaults(ObjectServiceFaults.NONE);
    Await.until("order-3 is accepted", Duration.ofSeconds(30), () -> isConfirmed("order-3"));
    session.step("one more repeat gets the recorded answer");
    confirm(session, port(), "order-3", "{\"order\": 3}");
    session.assertMatchesGoldenFile();
    assertThat(orders.runs("order-1")).isEqualTo(1);
    assertThat(orders.runs("order-2")).isEqualTo(1);
    assertThat(orders.runs("order-3")).isEqualTo(1);
    other.stop();
  }

  @Test
  void quarantineSession() {
    SessionRecorder session = new SessionRecorder("quarantine");
    session.step("a prompt crashes every engine that decodes it");
    fleet.engine(1).faults().crashOnPrompt("poison");
    fleet.engine(2).faults().crashOnPrompt("poison");
    generate(session, InProcessFleet.completionBody("poison", 8, false));
    session.step("the caller sends it again");
    generate(session, InProcessFleet.completionBody("poison", 8, false));
    session.step("the engines are back; another prompt is answered");
    fleet.engine(1).start();
    fleet.engine(2).start();
    Await.until("engines are used again", Duration.ofSeconds(30), () -> isServed("harmless"));
    generate(session, InProcessFleet.completionBody("harmless", 3, false));
    session.assertMatchesGoldenFile();
  }

  private void generate(SessionRecorder session, String body) {
    session.call(port(), "POST", "/v1/completions", body, "Content-Type", JSON);
  }

  private boolean isServed(String prompt) {
    return InProcessFleet.complete(port(), prompt, 1, false).status() == 200;
  }

  private boolean isConfirmed(String key) {
    return TestHttpClient.post(
                InProcessFleet.url(port(), "/orders/confirm"),
                "{\"order\": 3}",
                JSON,
                "Idempotency-Key",
                key)
            .status()
        == 201;
  }

  private static void confirm(SessionRecorder session, int port, String key, String body) {
    session.call(
        port, "POST", "/orders/confirm", body, "Content-Type", JSON, "Idempotency-Key", key);
  }
}
