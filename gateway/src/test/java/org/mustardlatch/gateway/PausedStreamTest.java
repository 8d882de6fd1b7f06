package org.mustardlatch.gateway;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mustardlatch.gateway.config.EngineStage;

/**
 * Guards against a stream that pauses at a sound engine and is broken off, because it was moved to
 * an engine that then does not accept it, and against events that come from both engines.
 */
class PausedStreamTest {
  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nId: q1\r\nMark: m\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String EVENT_1 = "id: 1\ndata: a\n\n";
  private static final String REST = "id: 2\ndata: b\n\nid: 3\ndata: c\n\n";
  private static final String LAST_CHUNK = "0\r\n\r\n";
  private static final String REFUSAL =
      "HTTP/1.1 503 Busy\r\nId: q1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

  /** Longer than the gateway waits before it looks for another engine. */
  private static final long PAUSE_MILLIS = 3_200;

  /** The other engine accepts, so late, after the first one has gone on. */
  private static final long LATE_MILLIS = 2_000;

  private ScriptedUpstream first;
  private ScriptedUpstream second;
  private TestGateway gateway;

  @BeforeEach
  void start() throws Exception {
    first = new ScriptedUpstream();
    second = new ScriptedUpstream();
    gateway = new TestGateway();
  }

  @AfterEach
  void stop() throws Exception {
    gateway.close();
    first.close();
    second.close();
  }

  /** How an engine answers a stream that is to go on after the first event. */
  private interface ResumedRun {
    void write(OutputStream out) throws IOException;
  }

  private void addEngines(ResumedRun resumedRun) throws Exception {
    gateway.addEngine("first", first, EngineStage.DECODE);
    gateway.addEngine("second", second, EngineStage.DECODE);
    for (ScriptedUpstream u : new ScriptedUpstream[] {first, second}) {
      for (int i = 0; i < 2; i++) {
        u.onNextRequest(
            (socket, out, request) -> {
              if (request.contains("After: ")) {
                resumedRun.write(out);
              } else {
                write(out, HEAD + chunk(EVENT_1));
                sleep(PAUSE_MILLIS);
                write(out, chunk(REST) + LAST_CHUNK);
              }
            });
      }
    }
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(UTF_8));
    out.flush();
  }

  private static void sleep(long millis) throws IOException {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  private void assertStreamIsWhole() throws IOException {
    StringBuilder received = new StringBuilder();
    try (Socket s = gateway.connect()) {
      String request =
          "GET /resumable/x HTTP/1.1\r\nHost: host\r\nId: q1\r\nConnection: close\r\n\r\n";
      s.getOutputStream().write(request.getBytes(UTF_8));
      for (int b = s.getInputStream().read(); b >= 0; b = s.getInputStream().read()) {
        received.append((char) b);
      }
    } catch (IOException e) {
      received.append(e);
    }
    String body = received.substring(Math.max(0, received.indexOf("\r\n\r\n") + 4));
    assertThat(body).endsWith(LAST_CHUNK);
    assertThat(body.replaceAll("(\r\n|^)[0-9a-f]+\r\n", "")).startsWith(EVENT_1 + REST);
    assertThat(body.split("id: ", -1)).hasLength(4);
  }

  @Test
  void streamStaysAtItsEngineWhenTheOtherOneRefusesIt() throws Exception {
    addEngines(out -> write(out, REFUSAL));

    assertStreamIsWhole();
    assertThat(first.requests().size() + second.requests().size()).isAtLeast(2);
  }

  @Test
  void streamGoesOnAtTheOtherEngineOnceThatHasAcceptedIt() throws Exception {
    addEngines(out -> write(out, HEAD + chunk(REST) + LAST_CHUNK));

    long start = System.nanoTime();
    assertStreamIsWhole();
    assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start)).isLessThan(PAUSE_MILLIS);
  }

  @Test
  void streamStaysAtItsEngineWhenTheOtherOneAcceptsItLate() throws Exception {
    addEngines(
        out -> {
          sleep(LATE_MILLIS);
          write(out, HEAD + chunk(REST) + LAST_CHUNK);
        });

    assertStreamIsWhole();
  }
}
