package org.mustardlatch.gateway;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.IOException;
import java.net.Socket;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mustardlatch.gateway.config.EngineStage;

/**
 * Guards against a response whose head is not valid HTTP/1.1 and that its caller gets all the same,
 * or that frames its body or decides about its request by a line that is no header field.
 */
class BrokenHeadTest {
  private static final String STATUS_LINE = "HTTP/1.1 200 OK";
  private static final String FIELDS = "Id: q1\r\nMark: m\r\n";
  private static final String BODY = "id: 1\ndata: whole\n\n";
  private static final String FRAMED_BODY = "Content-Length: " + BODY.length() + "\r\n\r\n" + BODY;
  private static final String KV_RESPONSE = "\r\nId: q1\r\nContent-Length: 2\r\n\r\nkv";

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

  static Stream<String> invalidStatusLines() {
    Stream<String> codes =
        Stream.of("000", "0", "00", "099", "20", "2 00", "+200", "0200", "00200", "1000", "2000");
    Stream<String> others =
        Stream.of(
            "HTTP/2.0 200 OK",
            "HTTP/0.9 200 OK",
            "http/1.1 200 OK",
            "HTTP/1.1 200 O\0K",
            "HTTP/1.1 200 O\u0001K",
            "HTTP/1.1 200 O\u000bK",
            "HTTP/1.1 200 O\u007fK");
    return Stream.concat(codes.map(code -> "HTTP/1.1 " + code + " OK"), others);
  }

  /** Lines that are no header fields; each of them frames or decides if its first word does. */
  static Stream<String> invalidFields() {
    return Stream.of(
        "Content-Length x: 5",
        "Content-Length\tx: 5",
        "Content-Length : 5",
        "Content-Length\t: 5",
        " Content-Length: 5",
        "\tContent-Length: 5",
        "Transfer-Encoding x: chunked",
        "Not-Run x: 1",
        " Not-Run: 1",
        "Note x",
        "Note",
        ": 1",
        "No\0te: 1",
        "No\u0001te: 1",
        "No\u000bte: 1",
        "Note\u001f: 1",
        "No\u007fte: 1",
        "No\rte: 1");
  }

  /** Fields with which the body of a response is not what its caller would get. */
  static Stream<String> unsupportedTransferCodings() {
    return Stream.of(
        "Transfer-Encoding: gzip",
        "Transfer-Encoding: gzip\r\nContent-Length: 5",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked;x=1",
        "Transfer-Encoding:");
  }

  private static String withChunks(String field) {
    return STATUS_LINE + "\r\n" + FIELDS + field + "\r\n\r\n5\r\n\u001f\u008b\b\0\0\r\n0\r\n\r\n";
  }

  private static ScriptedUpstream.Step response(String text) {
    return (socket, out, request) -> write(socket, text);
  }

  /** Writes a response and ends it, since its head need not state its length. */
  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(ISO_8859_1));
    socket.shutdownOutput();
  }

  private String send(String path) throws IOException {
    return gateway.sendAndReadAll(
        "GET %s HTTP/1.1\r\nHost: host\r\nId: q1\r\nConnection: close\r\n\r\n".formatted(path));
  }

  private static String withStatusLine(String statusLine) {
    return statusLine + "\r\n" + FIELDS + FRAMED_BODY;
  }

  /** Returns a response that ends with its connection unless its head states otherwise. */
  private static String withField(String field) {
    return STATUS_LINE + "\r\n" + FIELDS + field + "\r\n\r\n" + BODY;
  }

  private void assertErrorOfAnApplication(String response) throws Exception {
    gateway.addApplication("first", first);
    gateway.addApplication("second", second);
    first.onNextRequest(response(response));
    second.onNextRequest(response(response));

    assertThat(send("/once/x")).startsWith("HTTP/1.1 502");
    assertThat(first.requests().size() + second.requests().size()).isEqualTo(1);
  }

  private void assertRepeatedIfIdempotent(String response) throws Exception {
    gateway.addApplication("first", first);
    gateway.addApplication("second", second);
    for (ScriptedUpstream u : new ScriptedUpstream[] {first, second}) {
      u.onNextRequest(
          (socket, out, request) -> {
            boolean repeated = first.requests().size() + second.requests().size() > 1;
            write(socket, repeated ? withStatusLine(STATUS_LINE) : response);
          });
    }

    String received = send("/again/x");
    assertThat(received).startsWith(STATUS_LINE + "\r\n" + FIELDS);
    assertThat(received).endsWith("\r\n\r\n" + BODY);
    assertThat(first.requests().size() + second.requests().size()).isEqualTo(2);
  }

  private void assertErrorOfADecodeEngine(String response) throws Exception {
    gateway.addEngine("first", first, EngineStage.DECODE);
    gateway.addEngine("second", second, EngineStage.DECODE);
    first.onNextRequest(response(response));
    second.onNextRequest(response(response));

    assertThat(send("/stream/x")).startsWith("HTTP/1.1 502");
    assertThat(first.requests().size() + second.requests().size()).isEqualTo(1);
  }

  /** The decode engine may read the prompt itself, but not fetch a KV cache that was not named. */
  private void assertNotTakenForAPrefill(String response) throws Exception {
    gateway.addEngine("first", first, EngineStage.PREFILL);
    gateway.addEngine("second", second, EngineStage.DECODE);
    first.onNextRequest(response(response));
    second.onNextRequest(response(withStatusLine(STATUS_LINE)));

    String received = send("/stream/x");
    assertThat(received).startsWith(received.contains(BODY) ? STATUS_LINE : "HTTP/1.1 50");
    assertThat(String.join("", second.requests())).doesNotContain("Part: decode");
  }

  @ParameterizedTest
  @MethodSource("invalidStatusLines")
  void invalidStatusLineOfAnApplicationIsAnError(String statusLine) throws Exception {
    assertErrorOfAnApplication(withStatusLine(statusLine));
  }

  @ParameterizedTest
  @MethodSource("invalidStatusLines")
  void requestThatGotAnInvalidStatusLineIsRepeatedIfIdempotent(String statusLine) throws Exception {
    assertRepeatedIfIdempotent(withStatusLine(statusLine));
  }

  @ParameterizedTest
  @MethodSource("invalidStatusLines")
  void invalidStatusLineOfADecodeEngineIsAnError(String statusLine) throws Exception {
    assertErrorOfADecodeEngine(withStatusLine(statusLine));
  }

  @ParameterizedTest
  @MethodSource("invalidStatusLines")
  void invalidStatusLineOfAPrefillEngineNamesNoKvCache(String statusLine) throws Exception {
    assertNotTakenForAPrefill(statusLine + KV_RESPONSE);
  }

  @ParameterizedTest
  @MethodSource("invalidFields")
  void invalidFieldOfAnApplicationIsAnError(String field) throws Exception {
    assertErrorOfAnApplication(withField(field));
  }

  @ParameterizedTest
  @MethodSource("invalidFields")
  void requestThatGotAnInvalidFieldIsRepeatedIfIdempotent(String field) throws Exception {
    assertRepeatedIfIdempotent(withField(field));
  }

  @ParameterizedTest
  @MethodSource("invalidFields")
  void invalidFieldOfADecodeEngineIsAnError(String field) throws Exception {
    assertErrorOfADecodeEngine(withField(field));
  }

  @ParameterizedTest
  @MethodSource("invalidFields")
  void prefillWithAnInvalidFieldNamesNoKvCache(String field) throws Exception {
    assertNotTakenForAPrefill(STATUS_LINE + "\r\n" + field + KV_RESPONSE);
  }

  @ParameterizedTest
  @MethodSource("unsupportedTransferCodings")
  void unsupportedTransferCodingOfAnApplicationIsAnError(String field) throws Exception {
    assertErrorOfAnApplication(withChunks(field));
  }

  @ParameterizedTest
  @MethodSource("unsupportedTransferCodings")
  void requestThatGotAnUnsupportedTransferCodingIsRepeatedIfIdempotent(String field)
      throws Exception {
    assertRepeatedIfIdempotent(withChunks(field));
  }

  @ParameterizedTest
  @MethodSource("unsupportedTransferCodings")
  void prefillWithAnUnsupportedTransferCodingNamesNoKvCache(String field) throws Exception {
    assertNotTakenForAPrefill(withChunks(field));
  }

  @ParameterizedTest
  @ValueSource(strings = {"Identity", " identity "})
  void identityTransferCodingIsDelivered(String coding) throws Exception {
    gateway.addApplication("first", first);
    first.onNextRequest(response(withField("Transfer-Encoding: " + coding)));

    String received = send("/once/x");
    assertThat(received).startsWith(STATUS_LINE);
    assertThat(received).endsWith("\r\n\r\n" + BODY);
  }

  @ParameterizedTest
  @ValueSource(strings = {"200 ", "299 Odd", "404 Not here", "600 Odd", "999 \u00e9\tOdd"})
  void anyStatusOfThreeDigitsIsPassedOn(String status) throws Exception {
    gateway.addApplication("first", first);
    first.onNextRequest(response(withStatusLine("HTTP/1.1 " + status)));

    assertThat(send("/once/x")).startsWith("HTTP/1.1 " + status.substring(0, 4));
  }
}
