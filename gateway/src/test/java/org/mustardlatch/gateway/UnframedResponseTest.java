package org.mustardlatch.gateway;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mustardlatch.gateway.config.EngineStage;

/**
 * Guards against a response without length and chunks that is broken off and reaches the caller as
 * complete.
 */
class UnframedResponseTest {
  private static final String HEAD_END = "\r\nId: q1\r\nMark: m\r\n\r\n";
  private static final String STREAM_HEAD =
      "HTTP/1.1 200 OK\r\nId: q1\r\nMark: m\r\nContent-Type: text/event-stream\r\n\r\n";
  private static final String JSON_HEAD =
      "HTTP/1.1 200 OK\r\nId: q1\r\nMark: m\r\nContent-Type: application/json\r\n\r\n";
  private static final String PREFILL_RESPONSE =
      "HTTP/1.1 200 OK\r\nId: q1\r\nContent-Length: 2\r\n\r\nkv";
  private static final String EVENT_1 = "id: 1\ndata: a\n\n";
  private static final String EVENT_2 = "id: 2\ndata: b\n\n";

  /** More than the sockets between the node and an upstream hold. */
  private static final int LARGE_BODY_BYTES = 4_000_000;

  /** More than a gateway holds of a body before it passes it on. */
  private static final int LONG_BODY_BYTES = 102_000;

  /** Number of times that a reset is brought about, as its order among other events varies. */
  private static final int RESETS = 10;

  private static final String LAST_CHUNK = "0\r\n\r\n";

  private final CountDownLatch firstEventRead = new CountDownLatch(1);
  private ScriptedUpstream prefill;
  private ScriptedUpstream first;
  private ScriptedUpstream second;
  private TestGateway gateway;

  @BeforeEach
  void start() throws Exception {
    prefill = new ScriptedUpstream();
    first = new ScriptedUpstream();
    second = new ScriptedUpstream();
    gateway = new TestGateway();
  }

  @AfterEach
  void stop() throws Exception {
    gateway.close();
    prefill.close();
    first.close();
    second.close();
  }

  /** Makes an upstream write a response and end its connection. */
  private static void respondAndClose(ScriptedUpstream upstream, String response) {
    upstream.onNextRequest(
        (socket, out, request) -> {
          out.write(response.getBytes(UTF_8));
          out.flush();
          socket.close();
        });
  }

  /** Makes an upstream write a response and reset its connection. */
  private void respondAndReset(ScriptedUpstream upstream, String response) {
    upstream.onNextRequest(
        (socket, out, request) -> {
          out.write(response.getBytes(UTF_8));
          out.flush();
          reset(socket);
        });
  }

  /** Resets a connection once the caller has the first event; earlier, the event would be lost. */
  private void reset(Socket socket) throws IOException {
    try {
      var unused = firstEventRead.await(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
    socket.setSoLinger(true, 0);
    socket.close();
  }

  private String send(String path) throws IOException {
    return send(path, "");
  }

  private String send(String path, String header) throws IOException {
    try (Socket s = gateway.connect()) {
      String request =
          "GET %s HTTP/1.1\r\nHost: host\r\nId: q1\r\n%sConnection: close\r\n\r\n"
              .formatted(path, header);
      s.getOutputStream().write(request.getBytes(UTF_8));
      return readUntilClosedOrReset(s);
    }
  }

  private String sendWithBody(String path, int length) throws IOException {
    try (Socket s = gateway.connect()) {
      String head =
          """
          POST %s HTTP/1.1
          Host: host
          Id: q1
          Content-Length: %d
          Connection: close

          """
              .formatted(path, length)
              .replace("\n", "\r\n");
      s.getOutputStream().write(head.getBytes(UTF_8));
      s.getOutputStream().write(new byte[length]);
      return readUntilClosedOrReset(s);
    }
  }

  private String readUntilClosedOrReset(Socket s) {
    var received = new ByteArrayOutputStream();
    try {
      for (int b = s.getInputStream().read(); b >= 0; b = s.getInputStream().read()) {
        received.write(b);
        if (b == '\n' && received.toString(UTF_8).contains(EVENT_1)) {
          firstEventRead.countDown();
        }
      }
    } catch (IOException e) {
      // The bytes received before a reset count.
    }
    return received.toString(UTF_8);
  }

  private static void assertBrokenOffAfterFirstEvent(String response) {
    assertThat(response).startsWith("HTTP/1.1 200");
    assertThat(response).contains(EVENT_1);
    assertThat(response).doesNotContain("id: 2");
    assertThat(response).doesNotContain(LAST_CHUNK);
  }

  private static void assertComplete(String response) {
    assertThat(response).contains(EVENT_1);
    assertThat(response).contains(EVENT_2);
    assertThat(response.indexOf("id: 2")).isEqualTo(response.lastIndexOf("id: 2"));
    assertThat(response).endsWith(LAST_CHUNK);
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "id", "id: 1\ndata: a", "id: 1\ndata: a\n"})
  void streamThatEndsInsideItsFirstEventIsAnError(String part) throws Exception {
    gateway.addEngine("first", first, EngineStage.DECODE);
    respondAndClose(first, STREAM_HEAD + part);

    assertThat(send("/stream/x")).startsWith("HTTP/1.1 502");
  }

  @ParameterizedTest
  @ValueSource(strings = {"i", "id: 2\ndata: b", "id: 2\ndata: b\n"})
  void streamThatEndsInsideALaterEventIsBrokenOff(String part) throws Exception {
    gateway.addEngine("first", first, EngineStage.DECODE);
    respondAndClose(first, STREAM_HEAD + EVENT_1 + part);

    assertBrokenOffAfterFirstEvent(send("/stream/x"));
  }

  @Test
  void streamThatEndsInsideAnEventAfterAPrefillIsBrokenOff() throws Exception {
    gateway.addEngine("prefill", prefill, EngineStage.PREFILL);
    gateway.addEngine("first", first, EngineStage.DECODE);
    prefill.respondToNextRequest(PREFILL_RESPONSE);
    respondAndClose(first, STREAM_HEAD + EVENT_1 + "id: 2\nda");

    assertBrokenOffAfterFirstEvent(send("/stream/x"));
    assertThat(first.requests().getFirst()).contains("decode kv");
  }

  @Test
  void streamThatIsResetBetweenEventsIsBrokenOff() throws Exception {
    gateway.addEngine("first", first, EngineStage.DECODE);
    respondAndReset(first, STREAM_HEAD + EVENT_1);

    assertBrokenOffAfterFirstEvent(send("/stream/x"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"\n", "\r\n"})
  void streamThatEndsAfterAnEventIsComplete(String lineEnd) throws Exception {
    gateway.addEngine("first", first, EngineStage.DECODE);
    respondAndClose(first, STREAM_HEAD + (EVENT_1 + EVENT_2).replace("\n", lineEnd));

    String response = send("/stream/x");
    assertThat(response).contains(EVENT_1.replace("\n", lineEnd));
    assertThat(response).contains(EVENT_2.replace("\n", lineEnd));
    assertThat(response).endsWith(LAST_CHUNK);
  }

  @Test
  void streamThatItsCallerResumesAfterTheLastEventMayBeEmpty() throws Exception {
    gateway.addEngine("first", first, EngineStage.DECODE);
    respondAndClose(first, STREAM_HEAD);

    String response = send("/resumable/x", "Last-Event-ID: 2\r\n");
    assertThat(response).startsWith("HTTP/1.1 200");
    assertThat(response).endsWith("\r\n\r\n" + LAST_CHUNK);
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "id: 1\nda"})
  void resumableStreamThatEndsInsideItsFirstEventRunsElsewhere(String part) throws Exception {
    gateway.addEngine("first", first, EngineStage.DECODE);
    gateway.addEngine("second", second, EngineStage.DECODE);
    for (ScriptedUpstream u : new ScriptedUpstream[] {first, second}) {
      u.onNextRequest(
          (socket, out, request) -> {
            boolean repeated = first.requests().size() + second.requests().size() > 1;
            String body = repeated ? EVENT_1 + EVENT_2 : part;
            out.write((STREAM_HEAD + body).getBytes(UTF_8));
            out.flush();
            socket.close();
          });
    }

    assertComplete(send("/resumable/x"));
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void resumableStreamThatIsBrokenOffGoesOnAfterItsLastEvent(boolean reset) throws Exception {
    gateway.addEngine("first", first, EngineStage.DECODE);
    gateway.addEngine("second", second, EngineStage.DECODE);
    for (ScriptedUpstream u : new ScriptedUpstream[] {first, second}) {
      u.onNextRequest(
          (socket, out, request) -> {
            boolean resumed = request.contains("After: 1");
            String body = resumed ? EVENT_2 : EVENT_1 + (reset ? "" : "id: 2\nda");
            out.write((STREAM_HEAD + body).getBytes(UTF_8));
            out.flush();
            if (reset && !resumed) {
              reset(socket);
            }
            socket.close();
          });
    }

    assertComplete(send("/resumable/x"));
  }

  @Test
  void eventStreamOfAnApplicationThatEndsInsideAnEventIsAnError() throws Exception {
    gateway.addApplication("first", first);
    respondAndClose(first, STREAM_HEAD + EVENT_1 + "id: 2\nda");

    assertThat(send("/once/x")).startsWith("HTTP/1.1 502");
  }

  @Test
  void eventStreamOfAnApplicationThatEndsInsideAnEventIsRepeatedIfIdempotent() throws Exception {
    gateway.addApplication("first", first);
    respondAndClose(first, STREAM_HEAD + EVENT_1 + "id: 2\nda");
    respondAndClose(first, STREAM_HEAD + EVENT_1 + EVENT_2);
    gateway.addApplication("second", second);
    respondAndClose(second, STREAM_HEAD + EVENT_1 + EVENT_2);

    assertThat(send("/again/x")).endsWith(EVENT_1 + EVENT_2);
  }

  @Test
  void eventStreamOfAnApplicationThatEndsAfterAnEventIsDelivered() throws Exception {
    gateway.addApplication("first", first);
    respondAndClose(first, STREAM_HEAD + EVENT_1 + EVENT_2);

    assertThat(send("/once/x")).endsWith(EVENT_1 + EVENT_2);
  }

  @Test
  void otherResponseOfAnApplicationThatEndsWithItsConnectionIsDelivered() throws Exception {
    gateway.addApplication("first", first);
    respondAndClose(first, JSON_HEAD + "{\"order\":1}");

    assertThat(send("/once/x")).endsWith("{\"order\":1}");
  }

  @Test
  void responseWhoseConnectionIsResetWhileTheRequestIsWrittenIsAnError() throws Exception {
    try (ServerSocket server = new ServerSocket()) {
      server.setReceiveBufferSize(4_096);
      server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      gateway.addApplication("first", (InetSocketAddress) server.getLocalSocketAddress());
      Thread.ofVirtual().start(() -> respondBeforeTheBodyIsReadAndReset(server));
      String response = sendWithBody("/once/x", LARGE_BODY_BYTES);

      assertThat(response).startsWith("HTTP/1.1 502");
    }
  }

  private void respondBeforeTheBodyIsReadAndReset(ServerSocket server) {
    try (Socket s = server.accept()) {
      s.getOutputStream().write((JSON_HEAD + "{\"order\"").getBytes(UTF_8));
      s.getOutputStream().flush();
      firstEventRead.countDown();
      TimeUnit.MILLISECONDS.sleep(300);
      reset(s);
    } catch (IOException | InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  @RepeatedTest(RESETS)
  void responseThatIsResetWhileALongRequestIsWrittenIsAnError() throws Exception {
    assertErrorIfResetAtTheLastPart("Content-Length: %d\r\n\r\n".formatted(LONG_BODY_BYTES), "x");
  }

  @RepeatedTest(RESETS)
  void responseThatIsResetWhileAChunkedRequestIsWrittenIsAnError() throws Exception {
    assertErrorIfResetAtTheLastPart(
        "Transfer-Encoding: chunked\r\n\r\n%x\r\n".formatted(LONG_BODY_BYTES),
        "x\r\n" + LAST_CHUNK);
  }

  /** Lets the last part of a request meet a reset, so that its end finds a closed connection. */
  private void assertErrorIfResetAtTheLastPart(String framing, String lastPart) throws Exception {
    CountDownLatch responded = new CountDownLatch(1);
    CountDownLatch reset = new CountDownLatch(1);
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        Socket caller = gateway.connect()) {
      gateway.addApplication("first", (InetSocketAddress) server.getLocalSocketAddress());
      Thread.ofVirtual().start(() -> respondEarlyAndReset(server, responded, reset));
      write(caller, "POST /once/x HTTP/1.1\r\nHost: host\r\nId: q1\r\nConnection: close\r\n");
      write(caller, framing + "x".repeat(LONG_BODY_BYTES - 1));
      await(responded);
      // The gateway mostly reads connections in the order in which they became readable.
      CountDownLatch resume = gateway.pause();
      write(caller, lastPart);
      TimeUnit.MILLISECONDS.sleep(20);
      reset.countDown();
      TimeUnit.MILLISECONDS.sleep(20);
      resume.countDown();

      assertThat(readUntilClosedOrReset(caller)).startsWith("HTTP/1.1 502");
    }
  }

  /** Responds to the head of a request, reads most of its body and waits to reset. */
  private static void respondEarlyAndReset(
      ServerSocket server, CountDownLatch responded, CountDownLatch reset) {
    try (Socket s = server.accept()) {
      ScriptedUpstream.readHead(s.getInputStream());
      write(s, JSON_HEAD + "{\"order\"");
      s.getInputStream().skipNBytes(LONG_BODY_BYTES - 1L);
      responded.countDown();
      await(reset);
      s.setSoLinger(true, 0);
    } catch (IOException | InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  /** The status alone tells that such a response is complete. */
  @ParameterizedTest
  @ValueSource(strings = {"204 No Content", "304 Not Modified"})
  void responseWithoutABodyIsDeliveredBeforeTheRequestIsWritten(String status) throws Exception {
    CountDownLatch delivered = new CountDownLatch(1);
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        Socket caller = gateway.connect()) {
      gateway.addApplication("first", (InetSocketAddress) server.getLocalSocketAddress());
      Thread.ofVirtual()
          .start(() -> respondEarly(server, "HTTP/1.1 " + status + HEAD_END, delivered));
      write(caller, "POST /once/x HTTP/1.1\r\nHost: host\r\nId: q1\r\nConnection: close\r\n");
      write(caller, "Content-Length: %d\r\n\r\n".formatted(LONG_BODY_BYTES));
      write(caller, "x".repeat(LONG_BODY_BYTES - 1));

      String response = ScriptedUpstream.readHead(caller.getInputStream());
      delivered.countDown();
      assertThat(response).startsWith("HTTP/1.1 " + status);
    }
  }

  /** Responds to the head of a request, and keeps the connection until a latch is released. */
  private static void respondEarly(ServerSocket server, String response, CountDownLatch latch) {
    try (Socket s = server.accept()) {
      ScriptedUpstream.readHead(s.getInputStream());
      write(s, response);
      await(latch);
    } catch (IOException | InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(UTF_8));
    socket.getOutputStream().flush();
  }

  private static void await(CountDownLatch latch) throws InterruptedException {
    assertThat(latch.await(5, TimeUnit.SECONDS)).isTrue();
  }

  @Test
  void otherResponseOfAnApplicationThatIsResetIsAnError() throws Exception {
    gateway.addApplication("first", first);
    firstEventRead.countDown();
    respondAndReset(first, JSON_HEAD + "{\"order\"");

    assertThat(send("/once/x")).startsWith("HTTP/1.1 502");
  }
}
