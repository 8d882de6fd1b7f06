package org.mustardlatch.daemon.upstream;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.util.concurrent.locks.LockSupport;
import okio.ByteString;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against an event stream of a service that ends with its connection inside an event and is
 * taken for complete.
 */
class UnframedServiceResponseTest {
  /** More than the sockets between the client and the service hold. */
  private static final int LONG_REQUEST_BYTES = 8_000_000;

  private static final long RESPONSE_LEAD_NANOS = 200_000_000;
  private static final String EVENT = "id: 1\ndata: a\n\n";

  private RawService service;

  @BeforeEach
  void start() throws IOException {
    service = new RawService();
  }

  @AfterEach
  void stop() throws IOException {
    service.close();
  }

  private ApplicationResult callService(String headers, String body) {
    return service.callAndRespond("HTTP/1.1 200 OK\r\n" + headers + "\r\n" + body);
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "id: 1\nda", EVENT + "id: 2", EVENT + "id: 2\ndata: b\n"})
  void eventStreamThatEndsInsideAnEventIsNoCompleteResponse(String body) {
    assertThat(callService("Content-Type: text/event-stream\r\n", body))
        .isInstanceOf(ApplicationResult.Unknown.class);
  }

  @ParameterizedTest
  @ValueSource(strings = {EVENT, EVENT + EVENT, "id: 1\r\ndata: a\r\n\r\n"})
  void eventStreamThatEndsAfterAnEventIsComplete(String body) {
    assertThat(callService("Content-Type: text/event-stream; charset=utf-8\r\n", body))
        .isInstanceOf(ApplicationResult.Responded.class);
  }

  @Test
  void eventStreamWithALengthIsCompleteAtItsLength() {
    assertThat(callService("Content-Type: text/event-stream\r\nContent-Length: 2\r\n", "id"))
        .isInstanceOf(ApplicationResult.Responded.class);
  }

  @Test
  void otherResponseThatEndsWithItsConnectionIsComplete() {
    assertThat(callService("Content-Type: application/json\r\n", "{}"))
        .isInstanceOf(ApplicationResult.Responded.class);
  }

  private ApplicationResult callWithLongRequest(String response, boolean reset) {
    return service.call(
        "POST",
        ByteString.of(new byte[LONG_REQUEST_BYTES]),
        socket -> {
          socket.getOutputStream().write(response.getBytes(UTF_8));
          // The client is writing by then; a close with bytes unread resets the connection too.
          LockSupport.parkNanos(RESPONSE_LEAD_NANOS);
          socket.setSoLinger(reset, 0);
        });
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void responseThatIsResetWhileTheRequestIsWrittenIsNotComplete(boolean reset) {
    String part = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"order\"";

    assertThat(callWithLongRequest(part, reset)).isInstanceOf(ApplicationResult.Unknown.class);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 413 Too Long\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 413 Too Long\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        "HTTP/1.1 204 No Content\r\n\r\n"
      })
  void framedResponseIsCompleteThoughTheRequestIsNotWritten(String response) {
    assertThat(callWithLongRequest(response, true)).isInstanceOf(ApplicationResult.Responded.class);
  }
}
