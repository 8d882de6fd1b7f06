package org.mustardlatch.daemon.upstream;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import okio.ByteString;
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

/** An application service on a plain socket, and a client that calls it. */
final class RawService implements AutoCloseable {
  /** The reaction to a request whose head has been read. */
  interface Step {
    /** Writes a response; the connection is closed afterwards. */
    void run(Socket socket) throws IOException;
  }

  private static final UpstreamId ID = new UpstreamId("service");

  private final ServerSocket server;
  private final ApplicationClient client;

  RawService() throws IOException {
    server = new ServerSocket();
    // Small, so that a client can't write a long request before it is read.
    server.setReceiveBufferSize(4_096);
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    UpstreamHosts hosts = new UpstreamHosts();
    hosts.apply(manifest(URI.create("http://127.0.0.1:" + server.getLocalPort())));
    client = new ApplicationClient(hosts);
  }

  private static Manifest manifest(URI url) {
    Upstream service =
        new Upstream(
            ID,
            UpstreamRole.APPLICATION,
            new ModelId("none"),
            new ZoneId("a"),
            url,
            1,
            0,
            0,
            false,
            false);
    return new Manifest(
        "m",
        Objective.CREST_AVERSE,
        List.of(),
        new CrossRegionLink(1, 1),
        List.of(),
        List.of(),
        List.of(service),
        List.of(),
        new LedgerPolicy(Duration.ofHours(1), 1),
        new Limits(0.1, 0.1));
  }

  /** Calls the service, which writes the given text. */
  ApplicationResult callAndRespond(String response) {
    return call(
        "GET",
        ByteString.EMPTY,
        socket -> socket.getOutputStream().write(response.getBytes(ISO_8859_1)));
  }

  /** Calls the service, which runs a step for the request. */
  ApplicationResult call(String method, ByteString body, Step step) {
    Thread.ofVirtual().start(() -> serve(step));
    return client.send(
        ID, new ApplicationRequest(method, "/", Map.of(), body), Duration.ofSeconds(5));
  }

  private void serve(Step step) {
    try (Socket s = server.accept()) {
      var in = s.getInputStream();
      StringBuilder head = new StringBuilder();
      while (head.indexOf("\r\n\r\n") < 0) {
        head.append((char) in.read());
      }
      step.run(s);
    } catch (IOException e) {
      // The client closed the connection; its result tells why.
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
