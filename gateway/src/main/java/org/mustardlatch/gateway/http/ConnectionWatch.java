package org.mustardlatch.gateway.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Watches a process over a connection without requests, which ends with the process. Used on the
 * event loop only.
 */
public final class ConnectionWatch {
  private final ChannelFuture connect;
  private boolean closed;

  private ConnectionWatch(
      EventLoop loop, InetSocketAddress address, Duration timeout, Runnable onEnd) {
    connect =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeout.toMillis())
            .handler(new ChannelInboundHandlerAdapter())
            .connect(address);
    // A connection that can't be established ends with the failure to do so.
    connect
        .channel()
        .closeFuture()
        .addListener(
            f -> {
              if (!closed) {
                onEnd.run();
              }
            });
  }

  /**
   * Opens a connection and keeps it until {@link #close}.
   *
   * @param timeout time to establish the connection
   * @param onEnd runs on the event loop, after this method has returned, if the connection can't be
   *     established or the peer ends it
   */
  public static ConnectionWatch open(
      EventLoop loop, InetSocketAddress address, Duration timeout, Runnable onEnd) {
    return new ConnectionWatch(loop, address, timeout, () -> loop.execute(onEnd));
  }

  /** Closes the connection; its end is not reported. */
  public void close() {
    closed = true;
    var unused = connect.channel().close();
  }
}
