package org.mustardlatch.gateway.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.gateway.config.CallerLimits;

/** HTTP server for callers. All of its work is done on one event loop. */
public final class CallerServer {
  /**
   * Time for which an idle connection stays open after the idle timeout, so that callers close
   * first.
   */
  static final Duration IDLE_MARGIN = Duration.ofSeconds(1);

  // Connections that the kernel queues while the event loop is paused; a full queue leads to
  // resets.
  private static final int BACKLOG = 512;

  // Parts of a response that may be queued for a caller before they count toward the node's memory.
  private static final int UNCOUNTED_BYTES = 16 << 10;

  private final EventLoop loop;
  private final TimerService timers;
  private final InetSocketAddress address;
  private final CallerHandler handler;
  private final Supplier<CallerLimits> limits;
  private final BufferBudget buffers;
  private final Set<CallerConnection> connections = new HashSet<>();
  private @Nullable Channel listener;
  private boolean draining;
  private boolean finishing;
  private Runnable finishedTask = () -> {};

  /** Creates a server that does not listen before {@link #start}. */
  public CallerServer(
      EventLoop loop,
      TimerService timers,
      InetSocketAddress address,
      CallerHandler handler,
      Supplier<CallerLimits> limits,
      BufferBudget buffers) {
    this.buffers = buffers;
    this.loop = loop;
    this.timers = timers;
    this.address = address;
    this.handler = handler;
    this.limits = limits;
  }

  /** Starts to listen; throws a {@link java.net.BindException}, wrapped by Netty, on failure. */
  public void start() {
    ServerBootstrap b =
        new ServerBootstrap().group(loop, loop).channel(NioServerSocketChannel.class);
    b.option(ChannelOption.SO_BACKLOG, BACKLOG);
    b.option(ChannelOption.SO_REUSEADDR, true);
    ChannelOptions.all().forEach((option, value) -> setChildOption(b, option, value));
    b.childOption(ChannelOption.RECVBUF_ALLOCATOR, ChannelOptions.readSizes());
    b.childOption(
        ChannelOption.WRITE_BUFFER_WATER_MARK,
        new WriteBufferWaterMark(UNCOUNTED_BYTES / 2, UNCOUNTED_BYTES));
    b.childHandler(
        new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel ch) {
            ch.pipeline().addLast(new RequestDecoder(limits.get().maxHeaderBytes()));
            ch.pipeline().addLast(new HttpResponseEncoder());
            ch.pipeline().addLast(new CallerConnection(CallerServer.this, ch));
          }
        });
    listener = b.bind(address).syncUninterruptibly().channel();
  }

  @SuppressWarnings("unchecked")
  private static void setChildOption(ServerBootstrap b, ChannelOption<?> option, Object value) {
    b.childOption((ChannelOption<Object>) option, value);
  }

  /**
   * Returns the address on which the server listens, with the actual port if port 0 was requested.
   */
  public InetSocketAddress address() {
    Channel l = listener;
    return l == null ? address : (InetSocketAddress) l.localAddress();
  }

  /** Starts draining: from now on, every response closes its connection. */
  public void drain() {
    draining = true;
  }

  /**
   * Stops accepting connections and closes those without a request in progress; the others are
   * closed after their response.
   *
   * @param allClosed runs once, when no connection is left
   */
  public void finish(Runnable allClosed) {
    finishing = true;
    finishedTask = allClosed;
    if (listener != null) {
      var unused = listener.close();
    }
    new ArrayList<>(connections).forEach(CallerConnection::closeIfIdle);
    checkFinished();
  }

  private void checkFinished() {
    if (finishing && connections.isEmpty()) {
      finishing = false;
      finishedTask.run();
    }
  }

  /** Returns the number of open connections. */
  public int connectionCount() {
    return connections.size();
  }

  CallerHandler handler() {
    return handler;
  }

  CallerLimits limits() {
    return limits.get();
  }

  BufferBudget buffers() {
    return buffers;
  }

  TimerService timers() {
    return timers;
  }

  long now() {
    return timers.nanos();
  }

  boolean draining() {
    return draining;
  }

  void connectionOpened(CallerConnection c) {
    connections.add(c);
  }

  void connectionClosed(CallerConnection c) {
    connections.remove(c);
    checkFinished();
  }
}
