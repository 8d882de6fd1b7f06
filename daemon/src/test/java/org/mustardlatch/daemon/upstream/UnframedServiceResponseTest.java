package org.mustardlatch.daemon.upstream;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import okio.ByteString;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mustardlatch.core.manifest.CrossRegionLink;
import org.mustardlatch.core.manifest.LedgerPolicy;
import org.mustardlatch.core.manifest.Limits;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.manifest.Objective;
import org.mustardlatch.core.manifest.Upstream;
import org.mustardlatch.core.manifest.UpstreamRole;
import org.mustardlatch.core.model.ModelId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.model.ZoneId;

/**
 * Guards against an event stream of a service that ends with its connection inside an event and is
 * taken for complete.
 */
class UnframedServiceResponseTest {
  private static final UpstreamId SERVICE = new UpstreamId("service");
  private static final String EVENT = "id: 1\ndata: a\n\n";

  private final UpstreamHosts hosts = new UpstreamHosts();
  private final ApplicationClient client = new ApplicationClient(hosts);
  private ServerSocket server;

  @BeforeEach
  void start() throws IOException {
    server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    URI url = URI.create("http://127.0.0.1:" + server.getLocalPort());
    Upstream service =
        new Upstream(
            SERVICE,
            UpstreamRole.APPLICATION,
            new ModelId("none"),
            new ZoneId("a"),
            url,
            1,
            0,
            0,
            false,
            false);
    hosts.apply(
        new Manifest(
            "m",
            Objective.CREST_AVERSE,
            List.of(),
            new CrossRegionLink(1, 1),
            List.of(),
            List.of(),
            List.of(service),
            List.of(),
            new LedgerPolicy(Duration.ofHours(1), 1),
            new Limits(0.1, 0.1)));
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
  }

  private ApplicationResult callService(String headers, String body) {
    Thread.ofVirtual().start(() -> respond("HTTP/1.1 200 OK\r\n" + headers + "\r\n" + body));
    return client.send(
        SERVICE,
        new ApplicationRequest("GET", "/", Map.of(), ByteString.EMPTY),
        Duration.ofSeconds(5));
  }

  private void respond(String response) {
    try (Socket s = server.accept()) {
      var in = s.getInputStream();
      StringBuilder request = new StringBuilder();
      while (request.indexOf("\r\n\r\n") < 0) {
        request.append((char) in.read());
      }
      s.getOutputStream().write(response.getBytes(UTF_8));
    } catch (IOException e) {
      // The client closed the connection; its result tells why.
    }
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
