package org.mustardlatch.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mustardlatch.gateway.config.EngineStage;

/**
 * Guards against requests that are cut off by a planned stop: they got no response though they were
 * read whole, or were taken too late to be finished.
 */
class PlannedStopGatewayTest {
  private static final String OK_RESPONSE =
      "HTTP/1.1 200 OK\r\nId: q1\r\nMark: m\r\nContent-Length: 4\r\n\r\ndone";
  private static final String STREAM_HEAD =
      "HTTP/1.1 200 OK\r\nId: q1\r\nMark: m\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String FIRST_EVENT = "7\r\nid: 1\n\n\r\n";
  private static final String LAST_CHUNK = "0\r\n\r\n";

  /** After this part of the grace period the gateway accepts no connections. */
  private static final long FINISHING_MILLIS = 3_000;

  /** A caller that uses its connection again has sent the next request by then. */
  private static final long NEXT_REQUEST_MILLIS = 100;

  private final CountDownLatch released = new CountDownLatch(1);
  private ScriptedUpstream upstream;
  private TestGateway gateway;

  @BeforeEach
  void start() throws Exception {
    upstream = new ScriptedUpstream();
    gateway = new TestGateway();
  }

  @AfterEach
  void stop() throws Exception {
    gateway.close();
    upstream.close();
  }

  private static String post(String path, String statedTime) {
    return "POST "
        + path
        + " HTTP/1.1\r\nHost: host\r\nId: q1\r\n"
        + statedTime
        + "Content-Length: 4\r\n\r\n";
  }

  private static void write(Socket s, String text) throws IOException {
    s.getOutputStream().write(text.getBytes(UTF_8));
    s.getOutputStream().flush();
  }

  private static String readUntil(InputStream in, String end) throws IOException {
    StringBuilder received = new StringBuilder();
    while (received.indexOf(end) < 0) {
      int b = in.read();
      if (b < 0) {
        throw new IOException("closed after " + received);
      }
      received.append((char) b);
    }
    return received.toString();
  }

  private void awaitRelease() throws IOException {
    try {
      assertThat(released.await(10, TimeUnit.SECONDS)).isTrue();
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  /** Starts a stream that ends when {@link #released} is counted down. */
  private Socket openStream() throws Exception {
    gateway.addEngine("engine", upstream, EngineStage.DECODE);
    upstream.onNextRequest(
        (socket, out, request) -> {
          out.write((STREAM_HEAD + FIRST_EVENT).getBytes(UTF_8));
          out.flush();
          awaitRelease();
          out.write(LAST_CHUNK.getBytes(UTF_8));
        });
    Socket caller = gateway.connect();
    write(caller, post("/stream/x", "") + "body");
    String unused = readUntil(caller.getInputStream(), "id: 1\n\n");
    return caller;
  }

  @ParameterizedTest
  @ValueSource(longs = {0, FINISHING_MILLIS})
  void connectionOfAStreamThatBeganBeforeTheStopIsClosedAfterIt(long millisAfterStop)
      throws Exception {
    try (Socket caller = openStream()) {
      Future<?> end = gateway.drain();
      TimeUnit.MILLISECONDS.sleep(millisAfterStop);
      assertThat(end.isDone()).isFalse();

      released.countDown();

      String unused = readUntil(caller.getInputStream(), LAST_CHUNK);
      assertWithMessage("read after the stream").that(caller.getInputStream().read()).isEqualTo(-1);
      end.get(TestGateway.GRACE_PERIOD.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  /**
   * The head of the stream did not say that the connection would be closed, so its caller may send
   * the next request before or after the end of the stream.
   */
  @ParameterizedTest
  @ValueSource(longs = {0, FINISHING_MILLIS})
  void requestAfterAStreamThatMayOutlastTheStopIsRefusedAsNotExecuted(long millisAfterStop)
      throws Exception {
    gateway.addApplication("one", upstream);
    try (Socket caller = openStream()) {
      Future<?> end = gateway.drain();
      TimeUnit.MILLISECONDS.sleep(millisAfterStop);
      write(caller, post("/once/x", "Wait: 5000\r\n") + "body");
      released.countDown();

      String unused = readUntil(caller.getInputStream(), LAST_CHUNK);
      assertNotExecutedAndClosed(caller);
      end.get(TestGateway.GRACE_PERIOD.toMillis(), TimeUnit.MILLISECONDS);
    }
    assertThat(upstream.requests()).hasSize(1);
  }

  @ParameterizedTest
  @ValueSource(strings = {"/once/x", "/again/x", "/stream/x", "/resumable/x"})
  void requestShortlyAfterAStreamIsRefusedAsNotExecuted(String path) throws Exception {
    gateway.addApplication("one", upstream);
    try (Socket caller = openStream()) {
      Future<?> end = gateway.drain();
      TimeUnit.MILLISECONDS.sleep(FINISHING_MILLIS);
      released.countDown();
      String unused = readUntil(caller.getInputStream(), LAST_CHUNK);

      TimeUnit.MILLISECONDS.sleep(NEXT_REQUEST_MILLIS);
      write(caller, post(path, "") + "body");

      assertNotExecutedAndClosed(caller);
      end.get(TestGateway.GRACE_PERIOD.toMillis(), TimeUnit.MILLISECONDS);
    }
    assertThat(upstream.requests()).hasSize(1);
  }

  @Test
  void requestAfterAStreamThatCanEndInTimeIsServedAndItsConnectionIsClosed() throws Exception {
    gateway.addApplication("one", upstream);
    try (Socket caller = openStream()) {
      Future<?> end = gateway.drain();
      released.countDown();
      String unused = readUntil(caller.getInputStream(), LAST_CHUNK);
      upstream.respondToNextRequest(OK_RESPONSE);
      write(caller, post("/once/x", "Wait: 1000\r\n") + "body");

      String response = readUntil(caller.getInputStream(), "done");
      assertThat(response).startsWith("HTTP/1.1 200");
      assertThat(response.toLowerCase(Locale.ROOT)).contains("connection: close");
      assertThat(caller.getInputStream().read()).isEqualTo(-1);
      end.get(TestGateway.GRACE_PERIOD.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  private static void assertNotExecutedAndClosed(Socket caller) throws IOException {
    String head = readUntil(caller.getInputStream(), "\r\n\r\n");
    assertThat(head).startsWith("HTTP/1.1 503");
    assertThat(head).contains("Retry-After: ");
    assertThat(head.toLowerCase(Locale.ROOT)).contains("connection: close");
    byte[] body = caller.getInputStream().readAllBytes();
    assertThat(body.length).isGreaterThan(0);
  }

  @Test
  void stopWaitsForARequestThatIsBeingReceived() throws Exception {
    gateway.addApplication("one", upstream);
    upstream.respondToNextRequest(OK_RESPONSE);
    try (Socket caller = gateway.connect()) {
      write(caller, post("/once/x", "Wait: 300\r\n") + "bo");
      Future<?> end = gateway.drain();
      TimeUnit.MILLISECONDS.sleep(FINISHING_MILLIS);
      assertThat(end.isDone()).isFalse();

      write(caller, "dy");

      // The caller's time counts from the head of its request, so it is over.
      assertThat(readUntil(caller.getInputStream(), "\r\n\r\n")).startsWith("HTTP/1.1 ");
      end.get(TestGateway.GRACE_PERIOD.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  @Test
  void lateRequestThatCanEndInTimeIsServed() throws Exception {
    gateway.addApplication("one", upstream);
    upstream.respondToNextRequest(OK_RESPONSE);
    try (Socket caller = gateway.connect()) {
      write(caller, post("/once/x", "Wait: 3400\r\n") + "bo");
      Future<?> end = gateway.drain();
      TimeUnit.MILLISECONDS.sleep(FINISHING_MILLIS);
      write(caller, "dy");

      assertThat(readUntil(caller.getInputStream(), "done")).startsWith("HTTP/1.1 200");
      end.get(TestGateway.GRACE_PERIOD.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"/once/x", "/again/x", "/stream/x", "/resumable/x"})
  void lateRequestThatMayOutlastTheStopIsRefusedAsNotExecuted(String path) throws Exception {
    gateway.addApplication("one", upstream);
    gateway.addEngine("engine", upstream, EngineStage.DECODE);
    try (Socket caller = gateway.connect()) {
      write(caller, post(path, "") + "bo");
      Future<?> end = gateway.drain();
      TimeUnit.MILLISECONDS.sleep(FINISHING_MILLIS);
      write(caller, "dy");

      String head = readUntil(caller.getInputStream(), "\r\n\r\n");
      assertThat(head).startsWith("HTTP/1.1 503");
      assertThat(head).contains("Retry-After: ");
      end.get(TestGateway.GRACE_PERIOD.toMillis(), TimeUnit.MILLISECONDS);
    }
    assertThat(upstream.requests()).isEmpty();
  }

  @Test
  void requestThatIsStillRunningAtTheEndGetsAnErrorThatPromisesNothing() throws Exception {
    gateway.addApplication("one", upstream);
    upstream.onNextRequest((socket, out, request) -> awaitRelease());
    try (Socket caller = gateway.connect()) {
      write(caller, post("/once/x", "") + "body");
      while (upstream.requests().isEmpty()) {
        Thread.onSpinWait();
      }
      Future<?> end = gateway.drain();

      assertThat(readUntil(caller.getInputStream(), "\r\n\r\n")).startsWith("HTTP/1.1 502");
      end.get(TestGateway.GRACE_PERIOD.toMillis(), TimeUnit.MILLISECONDS);
    } finally {
      released.countDown();
    }
  }
}
