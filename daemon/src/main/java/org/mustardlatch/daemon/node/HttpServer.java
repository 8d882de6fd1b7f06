package org.mustardlatch.daemon.node;

import io.javalin.Javalin;
import io.javalin.compression.CompressionStrategy;
import io.javalin.config.JavalinConfig;
import io.javalin.config.RoutesConfig;
import java.time.Duration;
import java.util.function.Consumer;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.settings.SocketAddress;

/** An HTTP server with a virtual thread for each request. */
public final class HttpServer {
  private static final int MAX_HEADER_BYTES = 16 << 10;

  /** Longer than the longest pause between tokens that a request may have. */
  private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(5);

  // The default of 50 is full after a pause of some milliseconds. The kernel then answers with SYN
  // cookies and resets a connection whose second segment arrives before it was accepted.
  private static final int ACCEPT_QUEUE_SIZE = 1024;

  private final SocketAddress address;
  private final Consumer<RoutesConfig> routes;
  private @Nullable Javalin javalin;
  private @Nullable ServerConnector connector;

  /**
   * Creates a server; it does not listen yet.
   *
   * @param routes adds the handlers
   */
  public HttpServer(SocketAddress address, Consumer<RoutesConfig> routes) {
    this.address = address;
    this.routes = routes;
  }

  /** Starts listening. */
  public synchronized void start() {
    javalin = Javalin.create(this::configure).start();
  }

  /** Stops listening and closes all connections. */
  public synchronized void stop() {
    if (javalin != null) {
      javalin.stop();
      javalin = null;
    }
  }

  /** Returns the port that it listens on; 0 before the start. */
  public synchronized int port() {
    return connector == null ? 0 : connector.getLocalPort();
  }

  private void configure(JavalinConfig config) {
    config.concurrency.useVirtualThreads = true;
    config.startup.showJavalinBanner = false;
    config.startup.startupWatcherEnabled = false;
    config.http.compressionStrategy = CompressionStrategy.NONE;
    config.jetty.modifyServer(server -> server.setErrorHandler(new JettyErrorHandler()));
    config.jetty.addConnector(this::connector);
    routes.accept(config.routes);
  }

  private Connector connector(Server server, HttpConfiguration http) {
    http.setRequestHeaderSize(MAX_HEADER_BYTES);
    http.setSendServerVersion(false);
    ServerConnector created = new ServerConnector(server, new HttpConnectionFactory(http));
    created.setHost(address.ip());
    created.setPort(address.port());
    created.setAcceptQueueSize(ACCEPT_QUEUE_SIZE);
    created.setIdleTimeout(IDLE_TIMEOUT.toMillis());
    connector = created;
    return created;
  }
}
