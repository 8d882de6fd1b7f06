package org.mustardlatch.wire;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import javax.net.ssl.SSLException;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.error.MustardlatchException;

/**
 * TLS contexts of one node.
 *
 * @param client context of the connections that the node opens
 * @param server context of the connections that the node accepts
 */
record TlsContexts(SslContext client, SslContext server) {
  private static final String PROTOCOL = "TLSv1.3";

  static TlsContexts load(TlsFiles files) {
    try {
      // Endpoint identification is disabled because certificates contain host names, not the
      // addresses that nodes connect to; PeerChannel checks the names after the handshake.
      SslContext client =
          SslContextBuilder.forClient()
              .keyManager(files.certificate().toFile(), files.key().toFile())
              .trustManager(files.ca().toFile())
              .sslProvider(SslProvider.JDK)
              .endpointIdentificationAlgorithm(null)
              .protocols(PROTOCOL)
              .build();
      SslContext server =
          SslContextBuilder.forServer(files.certificate().toFile(), files.key().toFile())
              .trustManager(files.ca().toFile())
              .clientAuth(ClientAuth.REQUIRE)
              .sslProvider(SslProvider.JDK)
              .protocols(PROTOCOL)
              .build();
      return new TlsContexts(client, server);
    } catch (SSLException | IllegalArgumentException e) {
      throw new MustardlatchException(
          ErrorCode.SETTINGS_INVALID, "TLS files are not usable: " + files, e);
    }
  }
}
