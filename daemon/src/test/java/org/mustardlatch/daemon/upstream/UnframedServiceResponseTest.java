package org.mustardlatch.daemon.upstream;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
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
}
