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
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mustardlatch.gateway.config.EngineStage;

/** Guards against requests and answers that change, mix, double or vanish on their way. */
class DataPathTest {
  private static final String OK =
      "HTTP/1.1 200 OK\r\nId: q1\r\nMark: m\r\nContent-Length: 4\r\n\r\ndone";

  private ScriptedUpstream one;
  private ScriptedUpstream two;
  private RunningGateway gateway;

  @BeforeEach
  void start() throws Exception {
    one = new ScriptedUpstream();
    two = new ScriptedUpstream();
    gateway = new RunningGateway();
  }

  @AfterEach
  void stop() throws Exception {
    gateway.close();
    one.close();
    two.close();
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
  void passesMethodTargetAndBodyOnUnchanged() throws Exception {
    gateway.app("one", one);
    one.thenAnswer(OK);
    String target = "/once/a//b/../%2F;x=1?q=a+b&q=%zz";

    assertThat(gateway.exchange(post(target, "some body"))).endsWith("done");
    assertThat(one.requests().getFirst()).startsWith("POST " + target + " HTTP/1.1\r\n");
    assertThat(one.requests().getFirst()).endsWith("\r\n\r\nsome body");
  }

  @Test
  void passesRepeatedHeadersOnInTheirOrder() throws Exception {
    gateway.app("one", one);
    one.thenAnswer(
        "HTTP/1.1 200 OK\r\nId: q1\r\nMark: m\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\n"
            + "Content-Length: 4\r\n\r\ndone");

    String answer =
        gateway.exchange(
            """
            GET /once/x HTTP/1.1
            Host: host
            Id: q1
            Tag: one
            Tag: two
            Connection: close

            """
                .replace("\n", "\r\n"));

    assertThat(headers(one.requests().getFirst(), "tag")).containsExactly("one", "two").inOrder();
    assertThat(headers(answer, "set-cookie")).containsExactly("a=1", "b=2").inOrder();
  }

  @Test
  void sendsAllOfABodyThatWasAnsweredEarlyBeforeAnythingElse() throws Exception {
    String body = "b".repeat(200_000);
    List<String> heads = new CopyOnWriteArrayList<>();
    List<Integer> lengths = new CopyOnWriteArrayList<>();
    try (ServerSocket server = new ServerSocket()) {
      // A small window, so that the body is not in the kernel's buffers when the answer comes.
      server.setReceiveBufferSize(4_096);
      server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      Thread.ofVirtual().start(() -> answerEarly(server, heads, lengths));
      gateway.app("early", (InetSocketAddress) server.getLocalSocketAddress());

      assertThat(gateway.exchange(post("/once/x", body))).endsWith("done");
      assertThat(gateway.exchange(post("/once/y", "next"))).endsWith("done");
    }
    assertThat(heads.get(1)).startsWith("POST /once/y HTTP/1.1\r\n");
    assertThat(lengths).contains(4);
  }

  /** Answers each request once its head is in, and reads its body only afterwards. */
  private static void answerEarly(ServerSocket server, List<String> heads, List<Integer> lengths) {
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
                      s.getOutputStream().write(OK.getBytes(UTF_8));
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
  void repeatsAnIdempotentRequestElsewhereWhenAKeptConnectionHasGoneSilent() throws Exception {
    gateway.app("one", one);
    one.thenAnswer(OK);
    assertThat(gateway.exchange(get("/again/x"))).endsWith("done");
    gateway.app("two", two);
    for (int i = 0; one.requests().size() < 2; i++) {
      assertWithMessage("requests that went to the other upstream").that(i).isLessThan(20);
      two.thenAnswer(OK);
      assertThat(gateway.exchange(get("/again/x"))).endsWith("done");
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
  void joinsARequestInChunksToOneBody() throws Exception {
    gateway.app("one", one);
    one.thenAnswer(OK);

    gateway.exchange(
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

    assertThat(one.requests().getFirst()).endsWith("\r\n\r\nabcdefg");
  }

  @Test
  void refusesARequestWhoseFramingHasTwoReadings() throws Exception {
    gateway.app("one", one);
    String smuggled = "GET /once/hidden HTTP/1.1\r\nHost: host\r\nId: q2\r\n\r\n";

    String answer =
        gateway.exchange(
            "POST /once/x HTTP/1.1\r\nHost: host\r\nId: q1\r\nContent-Length: 5\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                + smuggled);

    assertThat(answer).startsWith("HTTP/1.1 400");
    assertThat(one.requests()).isEmpty();
  }

  @Test
  void takesAnAnswerWithoutLengthAsWholeAfterAnOrderlyClose() throws Exception {
    gateway.app("one", one);
    one.then(
        (socket, out, request) -> {
          out.write("HTTP/1.1 200 OK\r\nId: q1\r\nMark: m\r\n\r\nall of it".getBytes(UTF_8));
          out.flush();
          socket.close();
        });

    assertThat(gateway.exchange(get("/once/x"))).endsWith("all of it");
  }

  @Test
  void doesNotTakeAnAnswerWithoutLengthAsWholeAfterAReset() throws Exception {
    gateway.app("one", one);
    one.then(
        (socket, out, request) -> {
          out.write("HTTP/1.1 200 OK\r\nId: q1\r\nMark: m\r\n\r\npart".getBytes(UTF_8));
          out.flush();
          socket.setSoLinger(true, 0);
          socket.close();
        });

    assertThat(gateway.exchange(get("/once/x"))).startsWith("HTTP/1.1 502");
  }

  @Test
  void skipsAnAnswerThatBelongsToAnotherRequest() throws Exception {
    gateway.app("one", one);
    one.thenAnswer(
        "HTTP/1.1 200 OK\r\nId: other\r\nMark: m\r\nContent-Length: 5\r\n\r\nwrong" + OK);

    String answer = gateway.exchange(get("/once/x"));

    assertThat(answer).endsWith("done");
    assertThat(answer).doesNotContain("wrong");
  }

  @Test
  void doesNotPassOnASuccessWithoutTheMarkOfAnUpstream() throws Exception {
    gateway.app("one", one);
    one.thenAnswer("HTTP/1.1 200 OK\r\nId: q1\r\nContent-Length: 5\r\n\r\ndebug");

    assertThat(gateway.exchange(get("/once/x"))).startsWith("HTTP/1.1 502");
  }

  @Test
  void sendsARequestThatMustNotRepeatOnlyOnceWhenItsAnswerIsCut() throws Exception {
    gateway.app("one", one).app("two", two);
    ScriptedUpstream.Step cut =
        (socket, out, request) -> {
          out.write("HTTP/1.1 200 OK\r\nId: q1\r\nContent-Length: 9\r\n\r\nhal".getBytes(UTF_8));
          out.flush();
          socket.close();
        };
    one.then(cut);
    two.then(cut);

    assertThat(gateway.exchange(post("/once/x", "order"))).startsWith("HTTP/1.1 502");
    assertThat(one.requests().size() + two.requests().size()).isEqualTo(1);
  }

  @Test
  void sendsARequestThatMustNotRepeatOnWhenItsUpstreamStatesThatItDidNotRun() throws Exception {
    gateway.app("one", one).app("two", two);
    String refusal = "HTTP/1.1 503 Busy\r\nId: q1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
    one.thenAnswer(refusal).thenAnswer(OK);
    two.thenAnswer(OK);
    // Both orders of the two upstreams lead to an answer.
    assertThat(gateway.exchange(post("/once/x", "order"))).endsWith("done");
  }

  @Test
  void refusesWithNotRunOnlyWhenEveryUpstreamStatedIt() throws Exception {
    gateway.app("one", one);
    one.thenAnswer("HTTP/1.1 503 Busy\r\nId: q1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");

    String answer = gateway.exchange(post("/once/x", "order"));

    assertThat(answer).startsWith("HTTP/1.1 503");
    assertThat(answer).contains("Retry-After: ");
  }

  @Test
  void repeatsAnIdempotentRequestElsewhereWhenItsAnswerIsCut() throws Exception {
    gateway.app("one", one).app("two", two);
    ScriptedUpstream.Step cut =
        (socket, out, request) -> {
          socket.setSoLinger(true, 0);
          socket.close();
        };
    one.then(cut).thenAnswer(OK);
    two.then(cut).thenAnswer(OK);
    // One of the two breaks off first; the second one to be asked does so too, which ends it.
    String answer = gateway.exchange(get("/again/x"));

    assertThat(one.requests()).hasSize(1);
    assertThat(two.requests()).hasSize(1);
    assertThat(answer).startsWith("HTTP/1.1 502");
  }

  @Test
  void tellsTheUpstreamWithinAQuarterSecondThatTheCallerLeft() throws Exception {
    gateway.app("one", one);
    one.then((socket, out, request) -> socket.getInputStream().read());
    Socket caller = gateway.connect();
    caller.getOutputStream().write(get("/once/x").getBytes(UTF_8));
    caller.getOutputStream().flush();
    while (one.requests().isEmpty()) {
      Thread.onSpinWait();
    }

    caller.close();

    assertThat(one.closedByCaller().poll(250, TimeUnit.MILLISECONDS)).isTrue();
  }

  @Test
  void tellsTheEngineWithinAQuarterSecondThatTheCallerLeftAmidAStream() throws Exception {
    gateway.engine("one", one, EngineStage.DECODE);
    one.then(
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

    assertThat(one.closedByCaller().poll(250, TimeUnit.MILLISECONDS)).isTrue();
  }

  @Test
  void sendsNothingToAnUpstreamWhenTheCallerLeavesBeforeItsBodyIsComplete() throws Exception {
    gateway.app("one", one);
    one.thenAnswer(OK);
    try (Socket caller = gateway.connect()) {
      String whole = post("/once/x", "some body");
      caller.getOutputStream().write(whole.substring(0, whole.length() - 4).getBytes(UTF_8));
      caller.getOutputStream().flush();
    }

    assertThat(gateway.exchange(get("/once/y"))).endsWith("done");
    assertThat(one.requests()).hasSize(1);
  }

  @Test
  void breaksOffAStreamWhoseEngineBreaksOffSoThatItDoesNotLookComplete() throws Exception {
    gateway.engine("one", one, EngineStage.DECODE);
    one.then(
        (socket, out, request) -> {
          String head =
              "HTTP/1.1 200 OK\r\nId: q1\r\nMark: m\r\nTransfer-Encoding: chunked\r\n\r\n";
          out.write((head + "9\r\nid: 1\n\nid\r\n").getBytes(UTF_8));
          out.flush();
          socket.setSoLinger(true, 0);
          socket.close();
        });

    assertThrows(SocketException.class, () -> gateway.exchange(post("/stream/x", "p")));
    assertThat(one.requests()).hasSize(1);
  }

  @Test
  void resumesAStreamAtTheLastWholeEventWhereTheRouteAllowsIt() throws Exception {
    gateway.engine("one", one, EngineStage.DECODE).engine("two", two, EngineStage.DECODE);
    ScriptedUpstream.Step broken =
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
    one.then(broken).then(broken);
    two.then(broken).then(broken);

    String answer = gateway.exchange(post("/resumable/x", "p"));

    assertThat(answer).contains("id: 1\n\n");
    assertThat(answer).contains("id: 2\n\n");
    assertThat(answer).endsWith("0\r\n\r\n");
  }
}
