package org.mustardlatch.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.mustardlatch.standin.EngineOptions;
import org.mustardlatch.standin.TokenText;

/**
 * Guards against invalid input that gets a wrong or unclear error, or that makes the next valid
 * request fail. A valid request is sent after each test.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class BadInputTest {
  private final InProcessFleet fleet =
      new InProcessFleet(
          EngineOptions.fast("prefill-1", "prefill"), EngineOptions.fast("decode-1", "decode"));

  @BeforeAll
  void firstRequestSucceeds() {
    nextRequestSucceeds();
  }

  @AfterEach
  void nextRequestSucceeds() {
    TestHttpClient.Response response =
        InProcessFleet.complete(fleet.daemon().callerPort(), "next", 3, false);
    assertThat(response.generatedText()).isEqualTo(TokenText.answer("next", 3));
  }

  @AfterAll
  void close() {
    fleet.close();
  }

  @Test
  void malformedJsonIsRefusedWithItsLocation() {
    TestHttpClient.Response response = post("{\"model\": \"wording\",");
    assertThat(response.status()).isEqualTo(400);
    assertThat(response.errorCode()).isEqualTo("malformed_json");
    assertThat(response.body()).contains("line 1");
  }

  @Test
  void duplicateKeysAndTrailingTextAreRefused() {
    assertThat(post("{\"model\":\"wording\",\"model\":\"other\"}").errorCode())
        .isEqualTo("malformed_json");
    assertThat(post("{\"model\":\"wording\",\"prompt\":\"a\"} {}").errorCode())
        .isEqualTo("malformed_json");
  }

  @Test
  void deeplyNestedJsonAndHugeNumbersAreRefused() {
    for (String value :
        new String[] {"[".repeat(100_000) + "]".repeat(100_000), "9".repeat(2_000)}) {
      assertThat(post("{\"model\":\"wording\",\"prompt\":" + value + "}").status()).isEqualTo(400);
    }
  }

  @Test
  void anEmptyBodyAndAListAreRefused() {
    assertThat(post("").errorCode()).isEqualTo("invalid_argument");
    assertThat(post("[]").errorCode()).isEqualTo("invalid_argument");
  }

  @Test
  void wrongTypesAreRefusedWithTheFieldName() {
    assertThat(post("{\"model\":7}").body()).contains("\\\"model\\\"");
    assertThat(post("{\"model\":\"wording\",\"prompt\":[\"a\",\"b\"]}").body())
        .contains("\\\"prompt\\\"");
    assertThat(post("{\"model\":\"wording\",\"prompt\":\"a\",\"max_tokens\":0}").body())
        .contains("\\\"max_tokens\\\"");
    assertThat(post("{\"model\":\"wording\",\"prompt\":\"a\",\"stream\":\"yes\"}").body())
        .contains("\\\"stream\\\"");
    assertThat(post("{\"model\":\"wording\",\"prompt\":\"a\",\"n\":2}").body())
        .contains("\\\"n\\\"");
  }

  @Test
  void fieldsThatOpenAiClientsSendAreAcceptedButTransferParametersAreNot() {
    assertThat(post("{\"model\":\"wording\",\"prompt\":\"a\",\"user\":\"u\",\"top_k\":3}").status())
        .isEqualTo(200);
    assertThat(
            post("{\"model\":\"wording\",\"prompt\":\"a\",\"kv_transfer_params\":{}}").errorCode())
        .isEqualTo("unknown_field");
  }

  @Test
  void anUnknownModelAndAnUnknownKeyAreRefused() {
    assertThat(post("{\"model\":\"other\",\"prompt\":\"a\"}").errorCode())
        .isEqualTo("unknown_model");
    TestHttpClient.Response response =
        TestHttpClient.send(
            HttpRequest.newBuilder(fleet.url("/v1/completions"))
                .header("Authorization", "Bearer wrong")
                .POST(BodyPublishers.ofString("{}"))
                .build());
    assertThat(response.status()).isEqualTo(401);
    assertThat(response.errorCode()).isEqualTo("unauthenticated");
  }

  @Test
  void anUnknownRouteIsRefused() {
    assertThat(TestHttpClient.get(fleet.url("/v2/nothing")).errorCode()).isEqualTo("unknown_route");
  }

  @Test
  void aTooLongPromptIsRefused() {
    String prompt = "x".repeat(200_000);
    assertThat(post("{\"model\":\"wording\",\"prompt\":\"" + prompt + "\"}").errorCode())
        .isEqualTo("prompt_too_long");
  }

  @Test
  void anOversizedBodyIsRefusedWithAndWithoutContentLength() {
    byte[] body = new byte[5 << 20];
    TestHttpClient.Response announced =
        TestHttpClient.send(
            TestHttpClient.request(fleet.url("/v1/completions"))
                .POST(BodyPublishers.ofByteArray(body))
                .build());
    assertThat(announced.errorCode()).isEqualTo("body_too_large");
    TestHttpClient.Response chunked =
        TestHttpClient.send(
            TestHttpClient.request(fleet.url("/v1/completions"))
                .POST(BodyPublishers.fromPublisher(BodyPublishers.ofByteArray(body)))
                .build());
    assertThat(chunked.status()).isEqualTo(413);
  }

  @Test
  void oversizedHeadersGetAJsonError() throws IOException {
    String response =
        sendRaw("GET /v1/models HTTP/1.1\r\nHost: a\r\nX-Long: " + "x".repeat(20_000) + "\r\n\r\n");
    assertThat(response).startsWith("HTTP/1.1 431");
    assertThat(response).contains("\"code\":\"headers_too_large\"");
  }

  @Test
  void invalidHttpRequestsGetAJsonError() throws IOException {
    String badHeader = sendRaw("GET /v1/models HTTP/1.1\r\nHost: a\r\nno colon here\r\n\r\n");
    assertThat(badHeader).startsWith("HTTP/1.1 400");
    assertThat(badHeader).contains("\"code\":\"invalid_argument\"");
    String noVersion = sendRaw("no request\r\n\r\n");
    assertThat(noVersion).startsWith("HTTP/1.1 505");
    assertThat(noVersion).contains("\"code\":\"invalid_argument\"");
  }

  @Test
  void anInvalidManifestIsRefusedWithAllErrors() {
    TestHttpClient.Response response =
        TestHttpClient.post(fleet.operatorUrl("/manifest?base=1"), "a = 1\nb = 2\n", "text/plain");
    assertThat(response.errorCode()).isEqualTo("manifest_invalid");
    assertThat(response.body()).contains("manifest:1:1");
    assertThat(response.body()).contains("manifest:2:1");
  }

  @Test
  void aManifestOnAnOldBaseIsAConflict() {
    String text = TestHttpClient.get(fleet.operatorUrl("/manifest")).body();
    TestHttpClient.Response response =
        TestHttpClient.post(fleet.operatorUrl("/manifest?base=0"), text, "text/plain");
    assertThat(response.errorCode()).isEqualTo("manifest_conflict");
  }

  private TestHttpClient.Response post(String body) {
    return TestHttpClient.post(fleet.url("/v1/completions"), body, "application/json");
  }

  private String sendRaw(String request) throws IOException {
    try (Socket socket =
        new Socket(InetAddress.getLoopbackAddress(), fleet.daemon().callerPort())) {
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      byte[] response = new byte[2_000];
      int length = socket.getInputStream().readNBytes(response, 0, 300);
      return new String(response, 0, Math.max(0, length), StandardCharsets.US_ASCII);
    }
  }
}
