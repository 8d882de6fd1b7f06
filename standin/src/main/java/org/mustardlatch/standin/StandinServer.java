package org.mustardlatch.standin;

import io.javalin.Javalin;
import io.javalin.compression.CompressionStrategy;
import io.javalin.config.RoutesConfig;
import io.javalin.http.Context;
import io.javalin.http.Handler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.URI;
import java.util.Arrays;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.NetworkConnector;
import org.jspecify.annotations.Nullable;

/**
 * An HTTP server on loopback that can break off or silence its open connections. Each call runs on
 * a virtual thread.
 */
final class StandinServer {
  private static final String HOST = "127.0.0.1";
  private static final int MAX_LISTENER_CHECKS = 1_000;
  private static final int CONNECT_TIMEOUT_MILLIS = 50;

  private final Consumer<RoutesConfig> routes;
  private final Set<Integer> silentPeerPorts = ConcurrentHashMap.newKeySet();
  private int port;
  private @Nullable Javalin javalin;
  private volatile CountDownLatch stopped = new CountDownLatch(1);
  private volatile boolean stopping;

  StandinServer(int port, Consumer<RoutesConfig> routes) {
    this.port = port;
    this.routes = routes;
  }

  /** Starts listening; a server that was started with port 0 keeps its port when restarted. */
  synchronized void start() {
    stopped = new CountDownLatch(1);
    stopping = false;
    silentPeerPorts.clear();
    Javalin created =
        Javalin.create(
            config -> {
              config.concurrency.useVirtualThreads = true;
              config.startup.showJavalinBanner = false;
              config.startup.startupWatcherEnabled = false;
              config.http.compressionStrategy = CompressionStrategy.NONE;
              config.http.maxRequestSize = 16L << 20;
              config.routes.before(holdWhenSilent());
              routes.accept(config.routes);
            });
    created.start(HOST, port);
    port = created.port();
    javalin = created;
  }

  /** Stops listening and closes all connections at once. */
  synchronized void stop() {
    Javalin running = javalin;
    if (running == null) {
      return;
    }
    javalin = null;
    stopping = true;
    stopped.countDown();
    // First, so that who sees its connection break finds no listener, as after the end of a
    // process.
    connectors(running).forEach(StandinServer::stopListening);
    awaitNoListener();
    closeConnections(running);
    running.stop();
  }

  /** Makes every connection that is open now stay open without answering; new ones work. */
  synchronized void silenceOpenConnections() {
    Javalin running = javalin;
    if (running != null) {
      connectors(running)
          .flatMap(c -> c.getConnectedEndPoints().stream())
          .forEach(e -> silentPeerPorts.add(peerPort(e.getRemoteSocketAddress())));
    }
  }

  boolean isSilent(Context ctx) {
    return silentPeerPorts.contains(ctx.req().getRemotePort());
  }

  /** Closes the connection of a call without an answer. */
  void breakConnection(Context ctx) {
    ServletContextRequest.getServletContextRequest(ctx.req())
        .getConnectionMetaData()
        .getConnection()
        .getEndPoint()
        .close();
  }

  /** Blocks the calling handler until the server stops. */
  void holdUntilStop() throws InterruptedException {
    stopped.await();
  }

  synchronized int port() {
    return port;
  }

  URI url() {
    return URI.create("http://" + HOST + ":" + port());
  }

  private Handler holdWhenSilent() {
    return ctx -> {
      if (stopping) {
        // Connections are closed one after the other; none may answer once the first is closed.
        breakConnection(ctx);
        ctx.skipRemainingHandlers();
      } else if (isSilent(ctx)) {
        holdUntilStop();
      }
    };
  }

  private static void stopListening(Connector connector) {
    if (connector instanceof NetworkConnector listener) {
      listener.close();
    }
  }

  /** Waits until connections are refused: a listener closes only when its acceptor has noticed. */
  private void awaitNoListener() {
    for (int i = 0; i < MAX_LISTENER_CHECKS; i++) {
      try (Socket s = new Socket()) {
        // Times out when the queue of the listener is full, which nobody accepts from any more.
        s.connect(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_TIMEOUT_MILLIS);
      } catch (IOException e) {
        return;
      }
    }
  }

  private static void closeConnections(Javalin running) {
    connectors(running).flatMap(c -> c.getConnectedEndPoints().stream()).forEach(EndPoint::close);
  }

  private static Stream<Connector> connectors(Javalin running) {
    return Arrays.stream(running.jettyServer().server().getConnectors());
  }

  private static int peerPort(@Nullable SocketAddress address) {
    return address instanceof InetSocketAddress inet ? inet.getPort() : -1;
  }
}
