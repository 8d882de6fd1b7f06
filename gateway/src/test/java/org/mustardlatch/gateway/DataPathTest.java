package org.mustardlatch.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mustardlatch.gateway.config.EngineStage;

/**
 * Guards against requests and responses that are altered, mixed up, duplicated or lost between
 * caller and upstream.
 */
class DataPathTest {
  private static final String OK_RESPONSE =
      "HTTP/1.1 200 OK\r\nId: q1\r\nMark: m\r\nContent-Length: 4\r\n\r\ndone";

  /** Enough for the balancer's estimate to forget a slow first response. */
  private static final int WARM_UP_REQUESTS = 10;

  /** Below the 60 ms after which the gateway sends a request to a second upstream as well. */
  private static final int SLOW_RESPONSE_MILLIS = 50;

  private ScriptedUpstream firstUpstream;
  private ScriptedUpstream secondUpstream;
  private TestGateway gateway;

  @BeforeEach
  void start() throws Exception {
    firstUpstream = new ScriptedUpstream();
    secondUpstream = new ScriptedUpstream();
    gateway = new TestGateway();
  }

  @AfterEach
  void stop() throws Exception {
    gateway.close();
    firstUpstream.close();
    secondUpstream.close();
  }

  private static String get(String path) {
    return "GET " + path + " HTTP/1.1\r\nHost: host\r\nId: q1\r\nConnection: close\r\n\r\n";
  }

  private static String post(String path, String body) {
    return "POST "
        + path
        + " HTTP/1.1\r\nHost: host\r\nId: q1\r\nConnection: close\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  @Test
  void forwardsMethodTargetAndBodyUnchanged() throws Exception {
    gateway.addApplication("one", firstUpstream);
    firstUpstream.respondToNextRequest(OK_RESPONSE);
    String target = "/once/a//b/../%2F;x=1?q=a+b&q=%zz";

    assertThat(gateway.sendAndReadAll(post(target, "some body"))).endsWith("done");
    assertThat(firstUpstream.requests().getFirst()).startsWith("POST " + target + " HTTP/1.1\r\n");
    assertThat(firstUpstream.requests().getFirst()).endsWith("\r\n\r\nsome body");
  }

  @Test
  void forwardsRepeatedHeadersInOrder() throws Exception {
    gateway.addApplication("one", firstUpstream);
    firstUpstream.respondToNextRequest(
        "HTTP/1.1 200 OK\r\nId: q1\r\nMark: m\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\n"
            + "Content-Length: 4\r\n\r\ndone");

    String response =
        gateway.sendAndReadAll(
            """
            GET /once/x HTTP/1.1
            Host: host
            Id: q1
            Tag: one
            Tag: two
            Connection: close

            """
                .replace("\n", "\r\n"));

    assertThat(headers(firstUpstream.requests().getFirst(), "tag"))
        .containsExactly("one", "two")
        .inOrder();
    assertThat(headers(response, "set-cookie")).containsExactly("a=1", "b=2").inOrder();
  }

  @Test
  void sendsTheWholeBodyBeforeTheNextRequestWhenTheResponseComesEarly() throws Exception {
    String body = "b".repeat(200_000);
    List<String> heads = new CopyOnWriteArrayList<>();
    BlockingQueue<Integer> lengths = new LinkedBlockingQueue<>();
    try (ServerSocket server = new ServerSocket()) {
      // A small receive window, so that a part of the body is still unsent when the response
      // arrives.
      server.setReceiveBufferSize(4_096);
      server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      Thread.ofVirtual().start(() -> respondEarly(server, heads, lengths));
      gateway.addApplication("early", (InetSocketAddress) server.getLocalSocketAddress());

      assertThat(gateway.sendAndReadAll(post("/once/x", body))).endsWith("done");
      assertThat(gateway.sendAndReadAll(post("/once/y", "next"))).endsWith("done");
    }
    assertThat(heads.get(1)).startsWith("POST /once/y HTTP/1.1\r\n");
    // The upstream responds before it reads the body.
    Integer length = lengths.poll(5, TimeUnit.SECONDS);
    while (length != null && length != 4) {
      length = lengths.poll(5, TimeUnit.SECONDS);
    }
    assertThat(length).isEqualTo(4);
  }

  /** Responds to each request after its head and reads the body only afterwards. */
  private static void respondEarly(
      ServerSocket server, List<String> heads, BlockingQueue<Integer> lengths) {
    while (!server.isClosed()) {
      try {
        Socket s = server.accept();
        Thread.ofVirtual()
            .start(
                () -> {
                  try (s) {
                    while (true) {
                      String head = ScriptedUpstream.readHead(s.getInputStream());
                      heads.add(head);
                      s.getOutputStream().write(OK_RESPONSE.getBytes(UTF_8));
                      s.getOutputStream().flush();
                      int length = ScriptedUpstream.bodyLength(head);
                      lengths.add(s.getInputStream().readNBytes(length).length);
                    }
                  } catch (IOException e) {
                    // The gateway closed the connection.
                  }
                });
      } catch (IOException e) {
        return;
      }
    }
  }

  @Test
  void sendsAnIdempotentRequestToAnotherUpstreamWhenAKeptAliveConnectionStopsResponding()
      throws Exception {
    gateway.addApplication("one", firstUpstream);
    for (int i = 0; i < WARM_UP_REQUESTS; i++) {
      firstUpstream.respondToNextRequest(OK_RESPONSE);
      assertThat(gateway.sendAndReadAll(get("/again/x"))).endsWith("done");
    }
    gateway.addApplication("two", secondUpstream);
    for (int i = 0; firstUpstream.requests().size() == WARM_UP_REQUESTS; i++) {
      assertWithMessage("requests that the second upstream received").that(i).isLessThan(20);
      // Slower than the first one, so that the balancer returns to it on a machine of any speed.
      secondUpstream.onNextRequest(
          (socket, out, request) -> {
            sleep(SLOW_RESPONSE_MILLIS);
            out.write(OK_RESPONSE.getBytes(UTF_8));
          });
      assertThat(gateway.sendAndReadAll(get("/again/x"))).endsWith("done");
    }
  }

  private static void sleep(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static List<String> headers(String message, String name) {
    return message
        .lines()
        .takeWhile(line -> !line.isEmpty())
        .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(name + ":"))
        .map(line -> line.substring(name.length() + 1).strip())
        .toList();
  }

  @Test
  void forwardsAChunkedRequestAsOneBody() throws Exception {
    gateway.addApplication("one", firstUpstream);
    firstUpstream.respondToNextRequest(OK_RESPONSE);

    gateway.sendAndReadAll(
        """
        POST /once/x HTTP/1.1
        Host: host
        Id: q1
        Connection: close
        Transfer-Encoding: chunked

        3
        abc
        4
        defg
        0

        """
            .replace("\n", "\r\n"));

    assertThat(firstUpstream.requests().getFirst()).endsWith("\r\n\r\nabcdefg");
  }

  @Test
  void rejectsARequestWithContentLengthAndTransferEncoding() throws Exception {
    gateway.addApplication("one", firstUpstream);
    String smuggled = "GET /once/hidden HTTP/1.1\r\nHost: host\r\nId: q2\r\n\r\n";

    String response =
        gateway.sendAndReadAll(
            "POST /once/x HTTP/1.1\r\nHost: host\r\nId: q1\r\nContent-Length: 5\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                + smuggled);

    assertThat(response).startsWith("HTTP/1.1 400");
    assertThat(firstUpstream.requests()).isEmpty();
  }

  @Test
  void acceptsAResponseWithoutLengthThatEndsWithAnOrderlyClose() throws Exception {
    gateway.addApplication("one", firstUpstream);
    firstUpstream.onNextRequest(
        (socket, out, request) -> {
          out.write("HTTP/1.1 200 OK\r\nId: q1\r\nMark: m\r\n\r\nall of it".getBytes(UTF_8));
          out.flush();
          socket.close();
        });

    assertThat(gateway.sendAndReadAll(get("/once/x"))).endsWith("all of it");
  }

  @Test
  void rejectsAResponseWithoutLengthThatEndsWithAReset() throws Exception {
    gateway.addApplication("one", firstUpstream);
    firstUpstream.onNextRequest(
        (socket, out, request) -> {
          out.write("HTTP/1.1 200 OK\r\nId: q1\r\nMark: m\r\n\r\npart".getBytes(UTF_8));
          out.flush();
          socket.setSoLinger(true, 0);
          socket.close();
        });

    assertThat(gateway.sendAndReadAll(get("/once/x"))).startsWith("HTTP/1.1 502");
  }

  @Test
  void skipsAResponseToAnotherRequest() throws Exception {
    gateway.addApplication("one", firstUpstream);
    firstUpstream.respondToNextRequest(
        "HTTP/1.1 200 OK\r\nId: other\r\nMark: m\r\nContent-Length: 5\r\n\r\nwrong" + OK_RESPONSE);

    String response = gateway.sendAndReadAll(get("/once/x"));

    assertThat(response).endsWith("done");
    assertThat(response).doesNotContain("wrong");
  }

  @Test
  void refusalWithoutAnIdIsNotTheResponseToTheRequestThatRuns() throws Exception {
    gateway.addApplication("one", firstUpstream);
    firstUpstream
        .respondToNextRequest(OK_RESPONSE)
        .respondToNextRequest(
            "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
                + OK_RESPONSE.replace("q1", "q2"));

    assertThat(gateway.sendAndReadAll(post("/once/x", "first"))).endsWith("done");
    assertThat(gateway.sendAndReadAll(post("/once/y", "second").replace("q1", "q2")))
        .endsWith("done");
  }

  @Test
  void sendsEachNonIdempotentRequestWithoutAnIdOnAConnectionOfItsOwn() throws Exception {
    gateway.addApplication("one", firstUpstream);
    Set<Socket> connections = ConcurrentHashMap.newKeySet();
    for (int i = 0; i < 2; i++) {
      firstUpstream.onNextRequest(
          (socket, out, request) -> {
            connections.add(socket);
            out.write(OK_RESPONSE.replace("Id: q1\r\n", "").getBytes(UTF_8));
          });
      assertThat(gateway.sendAndReadAll(post("/once/x", "p").replace("Id: q1\r\n", "")))
          .endsWith("done");
    }
    assertThat(connections).hasSize(2);
  }

  @Test
  void doesNotForwardASuccessfulResponseWithoutTheStampOfAnUpstream() throws Exception {
    gateway.addApplication("one", firstUpstream);
    firstUpstream.respondToNextRequest(
        "HTTP/1.1 200 OK\r\nId: q1\r\nContent-Length: 5\r\n\r\ndebug");

    assertThat(gateway.sendAndReadAll(get("/once/x"))).startsWith("HTTP/1.1 502");
  }

  @Test
  void sendsANonIdempotentRequestOnlyOnceWhenItsResponseIsTruncated() throws Exception {
    gateway.addApplication("one", firstUpstream).addApplication("two", secondUpstream);
    ScriptedUpstream.Step truncated =
        (socket, out, request) -> {
          out.write("HTTP/1.1 200 OK\r\nId: q1\r\nContent-Length: 9\r\n\r\nhal".getBytes(UTF_8));
          out.flush();
          socket.close();
        };
    firstUpstream.onNextRequest(truncated);
    secondUpstream.onNextRequest(truncated);

    assertThat(gateway.sendAndReadAll(post("/once/x", "order"))).startsWith("HTTP/1.1 502");
    assertThat(firstUpstream.requests().size() + secondUpstream.requests().size()).isEqualTo(1);
  }

  @Test
  void sendsANonIdempotentRequestToAnotherUpstreamWhenTheFirstDidNotExecuteIt() throws Exception {
    gateway.addApplication("one", firstUpstream).addApplication("two", secondUpstream);
    String refusal = "HTTP/1.1 503 Busy\r\nId: q1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
    firstUpstream.respondToNextRequest(refusal).respondToNextRequest(OK_RESPONSE);
    secondUpstream.respondToNextRequest(OK_RESPONSE);
    // Either upstream may be selected first; both orders lead to a successful response.
    assertThat(gateway.sendAndReadAll(post("/once/x", "order"))).endsWith("done");
  }

  @Test
  void respondsServiceUnavailableWhenTheOnlyUpstreamDidNotExecuteTheRequest() throws Exception {
    gateway.addApplication("one", firstUpstream);
    firstUpstream.respondToNextRequest(
        "HTTP/1.1 503 Busy\r\nId: q1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");

    String response = gateway.sendAndReadAll(post("/once/x", "order"));

    assertThat(response).startsWith("HTTP/1.1 503");
    assertThat(response).contains("Retry-After: ");
  }

  @Test
  void sendsAnIdempotentRequestToAnotherUpstreamWhenTheConnectionIsReset() throws Exception {
    gateway.addApplication("one", firstUpstream).addApplication("two", secondUpstream);
    ScriptedUpstream.Step reset =
        (socket, out, request) -> {
          socket.setSoLinger(true, 0);
          socket.close();
        };
    firstUpstream.onNextRequest(reset).respondToNextRequest(OK_RESPONSE);
    secondUpstream.onNextRequest(reset).respondToNextRequest(OK_RESPONSE);
    // The second attempt fails as well, which reaches the maximum number of attempts of the route.
    String response = gateway.sendAndReadAll(get("/again/x"));

    assertThat(firstUpstream.requests()).hasSize(1);
    assertThat(secondUpstream.requests()).hasSize(1);
    assertThat(response).startsWith("HTTP/1.1 502");
  }

  @Test
  void closesTheUpstreamConnectionWithinAQuarterSecondOfTheCallersDisconnect() throws Exception {
    gateway.addApplication("one", firstUpstream);
    firstUpstream.onNextRequest((socket, out, request) -> socket.getInputStream().read());
    Socket caller = gateway.connect();
    caller.getOutputStream().write(get("/once/x").getBytes(UTF_8));
    caller.getOutputStream().flush();
    while (firstUpstream.requests().isEmpty()) {
      Thread.onSpinWait();
    }

    caller.close();

    assertThat(firstUpstream.closedByClient().poll(250, TimeUnit.MILLISECONDS)).isTrue();
  }

  @Test
  void closesTheEngineConnectionWithinAQuarterSecondOfADisconnectDuringAStream() throws Exception {
    gateway.addEngine("one", firstUpstream, EngineStage.DECODE);
    firstUpstream.onNextRequest(
        (socket, out, request) -> {
          String head =
              "HTTP/1.1 200 OK\r\nId: q1\r\nMark: m\r\nTransfer-Encoding: chunked\r\n\r\n";
          out.write((head + "7\r\nid: 1\n\n\r\n").getBytes(UTF_8));
          out.flush();
          socket.getInputStream().read();
          throw new IOException("closed");
        });
    Socket caller = gateway.connect();
    caller.getOutputStream().write(post("/stream/x", "p").getBytes(UTF_8));
    caller.getOutputStream().flush();
    StringBuilder received = new StringBuilder();
    while (received.indexOf("id: 1\n\n") < 0) {
      received.append((char) caller.getInputStream().read());
    }

    caller.close();

    assertThat(firstUpstream.closedByClient().poll(250, TimeUnit.MILLISECONDS)).isTrue();
  }

  @Test
  void sendsNothingToAnUpstreamWhenTheCallerDisconnectsBeforeItsBodyIsComplete() throws Exception {
    gateway.addApplication("one", firstUpstream);
    firstUpstream.respondToNextRequest(OK_RESPONSE);
    try (Socket caller = gateway.connect()) {
      String whole = post("/once/x", "some body");
      caller.getOutputStream().write(whole.substring(0, whole.length() - 4).getBytes(UTF_8));
      caller.getOutputStream().flush();
    }

    assertThat(gateway.sendAndReadAll(get("/once/y"))).endsWith("done");
    assertThat(firstUpstream.requests()).hasSize(1);
  }

  @Test
  void abortsTheCallersStreamWhenTheEngineConnectionIsReset() throws Exception {
    gateway.addEngine("one", firstUpstream, EngineStage.DECODE);
    firstUpstream.onNextRequest(
        (socket, out, request) -> {
          String head =
              "HTTP/1.1 200 OK\r\nId: q1\r\nMark: m\r\nTransfer-Encoding: chunked\r\n\r\n";
          out.write((head + "9\r\nid: 1\n\nid\r\n").getBytes(UTF_8));
          out.flush();
          socket.setSoLinger(true, 0);
          socket.close();
        });

    assertThrows(SocketException.class, () -> gateway.sendAndReadAll(post("/stream/x", "p")));
    assertThat(firstUpstream.requests()).hasSize(1);
  }

  @Test
  void resumesAStreamAfterTheLastCompleteEventOnAResumableRoute() throws Exception {
    gateway
        .addEngine("one", firstUpstream, EngineStage.DECODE)
        .addEngine("two", secondUpstream, EngineStage.DECODE);
    ScriptedUpstream.Step interruptFirst =
        (socket, out, request) -> {
          String head =
              "HTTP/1.1 200 OK\r\nId: q1\r\nMark: m\r\nTransfer-Encoding: chunked\r\n\r\n";
          if (request.contains("After: 1")) {
            out.write((head + "7\r\nid: 2\n\n\r\n0\r\n\r\n").getBytes(UTF_8));
          } else {
            out.write((head + "9\r\nid: 1\n\nid\r\n").getBytes(UTF_8));
            out.flush();
            socket.setSoLinger(true, 0);
            socket.close();
          }
        };
    firstUpstream.onNextRequest(interruptFirst).onNextRequest(interruptFirst);
    secondUpstream.onNextRequest(interruptFirst).onNextRequest(interruptFirst);

    String response = gateway.sendAndReadAll(post("/resumable/x", "p"));

    assertThat(response).contains("id: 1\n\n");
    assertThat(response).contains("id: 2\n\n");
    assertThat(response).endsWith("0\r\n\r\n");
  }

  @Test
  void timeStatedByOneCallerDoesNotAffectTheRequestsOfOthers() throws Exception {
    gateway.addApplication("one", firstUpstream);
    for (String millis : List.of("9223372036854775807", "9000000000000000")) {
      firstUpstream.respondToNextRequest(OK_RESPONSE).respondToNextRequest(OK_RESPONSE);

      assertThat(
              gateway.sendAndReadAll(get("/once/x").replace("Id:", "Wait: " + millis + "\r\nId:")))
          .endsWith("done");
      assertThat(gateway.sendAndReadAll(get("/once/y"))).endsWith("done");
    }
  }

  @Test
  void keepAliveTimeoutOfAnySizeLeavesTheResponseWhole() throws Exception {
    gateway.addApplication("one", firstUpstream);
    for (String seconds : List.of("9223372036854775807", "-9223372036854775808", "9".repeat(99))) {
      firstUpstream.respondToNextRequest(
          OK_RESPONSE.replace("Mark:", "Keep-Alive: timeout=" + seconds + "\r\nMark:"));

      assertThat(gateway.sendAndReadAll(get("/once/x"))).endsWith("done");
    }
  }
}
