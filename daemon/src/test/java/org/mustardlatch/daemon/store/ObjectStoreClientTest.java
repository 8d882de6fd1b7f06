package org.mustardlatch.daemon.store;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mustardlatch.core.time.TimerSubscription;
import org.mustardlatch.daemon.node.EventLoop;
import org.mustardlatch.standin.ObjectServiceFaults;
import org.mustardlatch.standin.ObjectServiceStandin;

/**
 * Guards against wrong results for responses of the object service, and for responses that are lost
 * or arrive after the timeout.
 */
class ObjectStoreClientTest {
  private static final ObjectStoreTimeouts TIMEOUTS =
      new ObjectStoreTimeouts(
          Duration.ofMillis(500),
          Duration.ofSeconds(5),
          Duration.ofSeconds(5),
          Duration.ofMillis(20));

  private final EventLoop timers = new EventLoop("test");
  private final ObjectServiceStandin standin = new ObjectServiceStandin().start(0);
  private ObjectStoreClient client;

  @BeforeEach
  void connect() {
    client = new ObjectStoreClient(URI.create(standin.url()), TIMEOUTS, timers);
  }

  @AfterEach
  void stop() {
    client.close();
    standin.close();
    timers.stop();
  }

  @Test
  void createsReadsAndUpdatesConditionallyOnTheVersion() throws Exception {
    assertThat(read()).isInstanceOf(ReadResult.NotFound.class);
    String first = ((WriteResult.Stored) write("", "a")).version();
    String second = ((WriteResult.Stored) write(first, "b")).version();
    assertThat(second).isNotEqualTo(first);
    assertThat(read()).isEqualTo(new ReadResult.Found(new StoredObject("one", second, text("b"))));
  }

  @Test
  void staleUpdateAndSecondCreateConflict() throws Exception {
    String first = ((WriteResult.Stored) write("", "a")).version();
    write(first, "b");
    assertThat(write(first, "c")).isEqualTo(new WriteResult.Conflict());
    assertThat(write("", "c")).isEqualTo(new WriteResult.Conflict());
  }

  @Test
  void updateWithALostResponseIsUnknownAndNotSentTwice() throws Exception {
    standin.setFaults(ObjectServiceFaults.lostAnswers(1));
    assertThat(write("", "a")).isInstanceOf(WriteResult.Unknown.class);
    assertThat(read()).isInstanceOf(ReadResult.Found.class);
    assertThat(standin.calls("put")).isEqualTo(1);
  }

  @Test
  void closedConnectionsMakeAnUpdateUnknownAndAReadFail() throws Exception {
    standin.setFaults(ObjectServiceFaults.DOWN);
    assertThat(write("", "a")).isInstanceOf(WriteResult.Unknown.class);
    assertThat(read()).isInstanceOf(ReadResult.Failed.class);
  }

  @Test
  void updateThatWasNeverSentIsRefused() throws Exception {
    standin.close();
    assertThat(write("", "a")).isInstanceOf(WriteResult.Refused.class);
  }

  @Test
  void updateSlowerThanTheTimeoutIsUnknownAndMayBeAppliedLater() throws Exception {
    ObjectStoreTimeouts shortTimeouts =
        new ObjectStoreTimeouts(
            Duration.ofSeconds(5), Duration.ofMillis(300), Duration.ofSeconds(5), Duration.ZERO);
    standin.setFaults(ObjectServiceFaults.slow(900));
    BlockingQueue<StoredObject> seen = new LinkedBlockingQueue<>();
    TimerSubscription watch = client.watch("test", "one", seen::add);
    try (ObjectStoreClient slow =
        new ObjectStoreClient(URI.create(standin.url()), shortTimeouts, timers)) {
      assertThat(get(slow.put("test", "one", "", text("late"))))
          .isInstanceOf(WriteResult.Unknown.class);
      assertThat(seen.poll(10, TimeUnit.SECONDS).spec()).isEqualTo(text("late"));
    }
    watch.cancel();
  }

  @Test
  void rateLimitedUpdateIsRefusedWithItsRetryAfter() throws Exception {
    standin.setFaults(ObjectServiceFaults.limited(1, 0));
    WriteResult last = write("", "a");
    for (int i = 0; i < 5 && !(last instanceof WriteResult.Refused); i++) {
      last = write("", "a");
    }
    assertThat(last).isEqualTo(new WriteResult.Refused("status 429", false, Duration.ofSeconds(1)));
  }

  @Test
  void oversizedObjectIsRefusedAsTooLarge() throws Exception {
    WriteResult result = write("", "x".repeat(ObjectServiceStandin.MAX_OBJECT_BYTES));
    assertThat(result).isEqualTo(new WriteResult.Refused("status 413", true, Duration.ZERO));
  }

  /** Only a valid response tells that the object was not stored. */
  @ParameterizedTest
  @ValueSource(
      strings = {"HTTP/1.1 409 Conflict\r\nNa me: 1", "HTTP/1.1 099 Odd", "HTTP/1.1 -20 Odd"})
  void updateWithABrokenResponseIsUnknown(String head) throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        ObjectStoreClient broken =
            new ObjectStoreClient(
                URI.create("http://127.0.0.1:" + server.getLocalPort()), TIMEOUTS, timers)) {
      Thread.ofVirtual().start(() -> respond(server, head + "\r\nContent-Length: 0\r\n\r\n"));

      assertThat(get(broken.put("test", "one", "", text("a"))))
          .isInstanceOf(WriteResult.Unknown.class);
    }
  }

  /** Writes a response to the first connection and keeps it until the client closes it. */
  private static void respond(ServerSocket server, String response) {
    try (Socket s = server.accept()) {
      s.getOutputStream().write(response.getBytes(UTF_8));
      var unused = s.getInputStream().readAllBytes();
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  @Test
  void watchContinuesAfterAnOutageWithTheLatestVersion() throws Exception {
    BlockingQueue<StoredObject> seen = new LinkedBlockingQueue<>();
    TimerSubscription watch = client.watch("test", "one", seen::add);
    String first = ((WriteResult.Stored) write("", "a")).version();
    assertThat(seen.poll(10, TimeUnit.SECONDS).spec()).isEqualTo(text("a"));
    standin.setFaults(ObjectServiceFaults.DOWN);
    assertThat(write(first, "never")).isInstanceOf(WriteResult.Unknown.class);
    standin.setFaults(ObjectServiceFaults.NONE);
    write(first, "b");
    assertThat(seen.poll(10, TimeUnit.SECONDS).spec()).isEqualTo(text("b"));
    watch.cancel();
  }

  private ReadResult read() throws Exception {
    return get(client.get("test", "one"));
  }

  private WriteResult write(String version, String value) throws Exception {
    return get(client.put("test", "one", version, text(value)));
  }

  private static JsonNode text(String value) {
    return JsonNodeFactory.instance.textNode(value);
  }

  static <T> T get(CompletableFuture<T> future) throws Exception {
    return future.get(20, TimeUnit.SECONDS);
  }
}
