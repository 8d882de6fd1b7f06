package org.mustardlatch.daemon.node;

import io.javalin.Javalin;
import io.javalin.compression.CompressionStrategy;
import io.javalin.config.JavalinConfig;
import io.javalin.config.RoutesConfig;
import jakarta.servlet.DispatcherType;
import java.time.Duration;
import java.util.EnumSet;
import java.util.function.Consumer;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.settings.SocketAddress;

/**
 * HTTP server of the caller API and of the operator API, one instance each. Each request runs on
 * its own virtual thread.
 */
public final class HttpServer {
  private static final int MAX_HEADER_BYTES = 16 << 10;

  /** Must exceed the longest permitted pause between two tokens of a response. */
  private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(5);

  // The default of 50 overflows when the process pauses for a few milliseconds. The kernel then
  // falls back to SYN cookies and resets a connection whose second segment arrives before the
  // connection has been accepted.
  private static final int ACCEPT_QUEUE_SIZE = 1024;

  private final SocketAddress address;
  private final Consumer<RoutesConfig> routes;
  private @Nullable Javalin javalin;
  private @Nullable ServerConnector connector;

  /**
   * Creates a server that does not listen yet.
   *
   * @param routes registers the request handlers
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

  /** Returns the port on which the server listens; 0 before {@link #start}. */
  public synchronized int port() {
    return connector == null ? 0 : connector.getLocalPort();
  }

  private void configure(JavalinConfig config) {
    config.concurrency.useVirtualThreads = true;
    config.startup.showJavalinBanner = false;
    config.startup.startupWatcherEnabled = false;
    config.http.compressionStrategy = CompressionStrategy.NONE;
    config.jetty.modifyServer(server -> server.setErrorHandler(new JettyErrorHandler()));
    config.jetty.modifyServletContextHandler(
        handler ->
            handler.addFilter(new UnreadBodyFilter(), "/*", EnumSet.of(DispatcherType.REQUEST)));
    config.jetty.addConnector(this::createConnector);
    routes.accept(config.routes);
  }

  private Connector createConnector(Server server, HttpConfiguration http) {
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
