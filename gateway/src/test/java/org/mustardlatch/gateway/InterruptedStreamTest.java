package org.mustardlatch.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mustardlatch.gateway.config.EngineStage;

/**
 * Guards against an interrupted stream that looks complete to its caller, has events twice, or is
 * mixed with what another engine sent in place of the rest.
 */
class InterruptedStreamTest {
  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nId: q1\r\nMark: m\r\nContent-Type: text/event-stream\r\n";
  private static final String EVENT_1 = "id: 1\ndata: a\n\n";
  private static final String EVENT_2 = "id: 2\ndata: b\n\n";
  private static final String EVENT_3 = "id: 3\ndata: c\n\n";
  private static final String LAST_CHUNK = "0\r\n\r\n";

  /** Text of an error response; none of it may reach the caller of a stream that has begun. */
  private static final String ERROR_TEXT = "internal failure";

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

  /** Returns a response in chunks, or with a length. */
  private static String framed(boolean chunks, String body) {
    return chunks
        ? HEAD
            + "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n".formatted(body.length(), body)
            + LAST_CHUNK
        : HEAD + "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  private String send(String path) throws IOException {
    return send(path, "");
  }

  private String send(String path, String headerLine) throws IOException {
    var received = new ByteArrayOutputStream();
    try (Socket s = gateway.connect()) {
      String request =
          "GET %s HTTP/1.1\r\nHost: host\r\nId: q1\r\n%sConnection: close\r\n\r\n"
              .formatted(path, headerLine);
      s.getOutputStream().write(request.getBytes(UTF_8));
      for (int b = s.getInputStream().read(); b >= 0; b = s.getInputStream().read()) {
        received.write(b);
      }
    } catch (IOException e) {
      // The bytes received before a reset count.
    }
    return received.toString(UTF_8);
  }

  /** Registers two engines that respond to a first run and to a resumed one as given. */
  private void addTwoEngines(String firstRun, String resumedRun) throws Exception {
    gateway.addEngine("first", first, EngineStage.DECODE);
    gateway.addEngine("second", second, EngineStage.DECODE);
    for (ScriptedUpstream u : new ScriptedUpstream[] {first, second}) {
      for (int i = 0; i < 2; i++) {
        u.onNextRequest(
            (socket, out, request) -> {
              out.write((request.contains("After: ") ? resumedRun : firstRun).getBytes(UTF_8));
              out.flush();
              socket.close();
            });
      }
    }
  }

  private static void assertNotComplete(String response) {
    assertWithMessage("response %s", response).that(response).doesNotContain(LAST_CHUNK);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void framedStreamThatEndsInsideItsFirstEventIsAnError(boolean chunks) throws Exception {
    gateway.addEngine("first", first, EngineStage.DECODE);
    first.respondToNextRequest(framed(chunks, "id: 1\nda"));

    assertThat(send("/stream/x")).startsWith("HTTP/1.1 502");
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void framedStreamThatEndsInsideALaterEventIsBrokenOff(boolean chunks) throws Exception {
    gateway.addEngine("first", first, EngineStage.DECODE);
    first.respondToNextRequest(framed(chunks, EVENT_1 + "id: 2\nda"));

    String response = send("/stream/x");
    assertNotComplete(response);
    assertThat(response).doesNotContain("id: 2");
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void framedStreamThatEndsInsideAnEventGoesOnElsewhereIfItMayBeResumed(boolean chunks)
      throws Exception {
    addTwoEngines(framed(chunks, EVENT_1 + "id: 2\nda"), framed(chunks, EVENT_2 + EVENT_3));

    String response = send("/resumable/x");
    assertThat(response.replaceAll("\r\n[0-9a-f]+\r\n", "")).contains(EVENT_1 + EVENT_2 + EVENT_3);
    assertThat(response).endsWith(LAST_CHUNK);
  }

  /** The output that a caller states, if it states any, does not tell how many events come. */
  @ParameterizedTest
  @ValueSource(strings = {"id: 2\nda", ""})
  void streamThatBreaksOffAfterTheStatedOutputIsBrokenOff(String incompleteEvent) throws Exception {
    gateway.addEngine("first", first, EngineStage.DECODE);
    first.onNextRequest(
        (socket, out, request) -> {
          out.write(unfinished(EVENT_1 + incompleteEvent).getBytes(UTF_8));
          out.flush();
          socket.close();
        });

    String response = send("/stream/x", "Max-Output: 1\r\n");

    assertThat(response).contains(EVENT_1);
    assertNotComplete(response);
  }

  @ParameterizedTest
  @ValueSource(strings = {"id: 2\nda", ""})
  void streamThatBreaksOffAfterTheStatedOutputGoesOnElsewhereIfItMayBeResumed(
      String incompleteEvent) throws Exception {
    addTwoEngines(unfinished(EVENT_1 + incompleteEvent), framed(true, EVENT_2 + EVENT_3));

    String response = send("/resumable/x", "Max-Output: 1\r\n");

    assertThat(response.replaceAll("\r\n[0-9a-f]+\r\n", "")).contains(EVENT_1 + EVENT_2 + EVENT_3);
    assertThat(response).endsWith(LAST_CHUNK);
  }

  /** Returns a response in chunks that lacks the last one. */
  private static String unfinished(String body) {
    return HEAD + "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n".formatted(body.length(), body);
  }

  @ParameterizedTest
  @ValueSource(strings = {EVENT_1 + EVENT_2 + EVENT_3, EVENT_2 + EVENT_3})
  void engineThatStartsAgainDoesNotRepeatEvents(String resumedRun) throws Exception {
    addTwoEngines(framed(true, EVENT_1 + EVENT_2 + "id: 3\nda"), framed(true, resumedRun));

    String response = send("/resumable/x");

    assertNotComplete(response);
    for (String event : new String[] {"id: 1\n", "id: 2\n"}) {
      assertWithMessage(event).that(response.split(event, -1)).hasLength(2);
    }
    assertThat(response).doesNotContain("id: 3");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 500 Error\r\nId: q1\r\nMark: m\r\nContent-Length: 16\r\n\r\n" + ERROR_TEXT,
        "HTTP/1.1 500 Error\r\nId: q1\r\n\r\n" + ERROR_TEXT,
        "HTTP/1.1 503 Busy\r\nId: q1\r\nNot-Run: 1\r\nContent-Length: 16\r\n\r\n" + ERROR_TEXT,
        "HTTP/1.1 404 Unknown\r\nContent-Length: 16\r\n\r\n" + ERROR_TEXT,
        "HTTP/1.1 200 OK\r\nId: q1\r\nContent-Length: 16\r\n\r\n" + ERROR_TEXT,
        "HTTP/1.1 200 OK\r\nId: q1\r\nMark: m\r\nContent-Length: 16\r\n\r\n" + ERROR_TEXT,
        "HTTP/1.1 200 OK\r\nId: q1\r\nMark: m\r\nContent-Type: application/json\r\n"
            + "Content-Length: 18\r\n\r\n"
            + ERROR_TEXT
            + "\n\n",
        "HTTP/1.1 200 OK\r\nId: q1\r\nMark: m\r\n\r\n" + ERROR_TEXT,
        ERROR_TEXT + "\r\n\r\n",
        ""
      })
  void errorInPlaceOfTheRestOfAStreamDoesNotReachItsCaller(String error) throws Exception {
    addTwoEngines(framed(true, EVENT_1 + "id: 2\nda"), error);

    String response = send("/resumable/x");

    assertThat(response).startsWith("HTTP/1.1 200");
    assertThat(response).contains(EVENT_1);
    assertThat(response).doesNotContain(ERROR_TEXT);
    assertThat(response.split("HTTP/1.1", -1)).hasLength(2);
    assertNotComplete(response);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void framedEventStreamOfAnApplicationThatEndsInsideAnEventIsAnError(boolean chunks)
      throws Exception {
    gateway.addApplication("first", first);
    first.respondToNextRequest(framed(chunks, EVENT_1 + "id: 2\nda"));

    assertThat(send("/once/x")).startsWith("HTTP/1.1 502");
  }
}
