package org.mustardlatch.gateway.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.BindException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.SocketException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Finds out whether a process listens at an address, by a new connection. */
public final class ConnectionProbe {
  /** The reaction to a new connection. */
  public enum Result {
    /** A process accepted the connection and kept it. */
    ACCEPTED,
    /** The host refused the connection: no process listens. */
    REFUSED,
    /** The host did not react in time; the process may be alive. */
    NO_RESPONSE
  }

  // A process that ends may accept a connection until its listening socket is closed, which resets
  // the connections that it has not accepted yet.
  private static final Duration MIN_LIFETIME = Duration.ofMillis(20);
  private static final int MAX_CONNECTIONS = 3;

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final Duration timeout;
  private final Consumer<Result> consumer;
  private int connections;

  private ConnectionProbe(
      EventLoop loop, InetSocketAddress address, Duration timeout, Consumer<Result> consumer) {
    this.loop = loop;
    this.address = address;
    this.timeout = timeout;
    this.consumer = consumer;
  }

  /**
   * Opens a connection and closes it again. Opens another one if the peer closes or resets it at
   * once.
   *
   * @param timeout time to establish a connection, after which the result is {@link
   *     Result#NO_RESPONSE}
   * @param consumer receives the result on the event loop
   */
  public static void start(
      EventLoop loop, InetSocketAddress address, Duration timeout, Consumer<Result> consumer) {
    new ConnectionProbe(loop, address, timeout, consumer).connect();
  }

  private void connect() {
    connections++;
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeout.toMillis())
        .handler(new ChannelInboundHandlerAdapter())
        .connect(address)
        .addListener((ChannelFuture f) -> connectFinished(f));
  }

  private void connectFinished(ChannelFuture connect) {
    if (connect.isSuccess()) {
      var unused =
          loop.schedule(
              () -> checkConnection(connect), MIN_LIFETIME.toMillis(), TimeUnit.MILLISECONDS);
      return;
    }
    if (isReset(connect.cause())) {
      var unused =
          loop.schedule(this::closedAtOnce, MIN_LIFETIME.toMillis(), TimeUnit.MILLISECONDS);
    } else {
      consumer.accept(isRefused(connect.cause()) ? Result.REFUSED : Result.NO_RESPONSE);
    }
  }

  static boolean isRefused(Throwable cause) {
    return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
  }

  /** Returns whether the peer reset a connection while it was being established. */
  static boolean isReset(Throwable cause) {
    return cause instanceof SocketException
        && !(cause instanceof ConnectException)
        && !(cause instanceof NoRouteToHostException)
        && !(cause instanceof BindException);
  }

  private void checkConnection(ChannelFuture connect) {
    boolean kept = connect.channel().isActive();
    var unused = connect.channel().close();
    if (kept) {
      consumer.accept(Result.ACCEPTED);
    } else {
      closedAtOnce();
    }
  }

  /** A process that closes every connection is alive: it accepts no more at present. */
  private void closedAtOnce() {
    if (connections == MAX_CONNECTIONS) {
      consumer.accept(Result.ACCEPTED);
    } else {
      connect();
    }
  }
}
