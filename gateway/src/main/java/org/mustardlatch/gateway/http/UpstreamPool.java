package org.mustardlatch.gateway.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.mustardlatch.core.time.MonotonicClock;

/**
 * Pool of connections to one address: to one run of an upstream, or to the platform's store. Used
 * on the event loop only.
 */
public final class UpstreamPool {
  private final EventLoop loop;
  private final MonotonicClock clock;
  private final InetSocketAddress address;
  private final Duration connectTimeout;
  private final Duration maxIdleForNonRepeatable;
  private final Consumer<HttpResponse> headObserver;
  private final long maxQueuedBytes;
  private final Set<RequestBody> waitingBodies = new LinkedHashSet<>();
  private long queuedBytes;
  private final Deque<UpstreamConnection> idleConnections = new ArrayDeque<>();
  private boolean closed;

  /**
   * Creates a pool without connections.
   *
   * @param connectTimeout maximum time to establish a connection
   * @param maxIdleForNonRepeatable maximum idle time of a kept-alive connection that may carry a
   *     request that must not be repeated
   * @param headObserver is given the head of each response, before the listener of its call
   */
  public UpstreamPool(
      EventLoop loop,
      MonotonicClock clock,
      InetSocketAddress address,
      Duration connectTimeout,
      Duration maxIdleForNonRepeatable,
      Consumer<HttpResponse> headObserver) {
    this(
        loop,
        clock,
        address,
        connectTimeout,
        maxIdleForNonRepeatable,
        headObserver,
        Long.MAX_VALUE);
  }

  /**
   * Creates a pool without connections.
   *
   * @param maxQueuedBytes bytes of bodies that pass through which may be queued on all connections
   *     together; one read more may be
   */
  public UpstreamPool(
      EventLoop loop,
      MonotonicClock clock,
      InetSocketAddress address,
      Duration connectTimeout,
      Duration maxIdleForNonRepeatable,
      Consumer<HttpResponse> headObserver,
      long maxQueuedBytes) {
    this.maxQueuedBytes = maxQueuedBytes;
    this.loop = loop;
    this.clock = clock;
    this.address = address;
    this.connectTimeout = connectTimeout;
    this.maxIdleForNonRepeatable = maxIdleForNonRepeatable;
    this.headObserver = headObserver;
  }

  void headReceived(HttpResponse head) {
    headObserver.accept(head);
  }

  /** Counts bytes of a body that passes through which were passed to a connection. */
  void bytesQueued(int count) {
    queuedBytes += count;
  }

  /** Counts bytes that left this node, or whose connection was closed. */
  void bytesWritten(int count) {
    queuedBytes -= count;
    if (queuedBytes < maxQueuedBytes && !waitingBodies.isEmpty()) {
      // The first may have nothing to send, so all of them go on before the queue runs empty.
      boolean resumeAll = queuedBytes < maxQueuedBytes / 2;
      List<RequestBody> resumed =
          waitingBodies.stream().limit(resumeAll ? waitingBodies.size() : 1).toList();
      resumed.forEach(waitingBodies::remove);
      resumed.forEach(RequestBody::resume);
    }
  }

  /** Called when a body is no longer passed to an upstream of this pool. */
  void bodyDetached(RequestBody body) {
    waitingBodies.remove(body);
  }

  /** Returns whether more of a body may be queued; if not, the body is resumed in its turn. */
  boolean hasRoom(RequestBody body) {
    if (queuedBytes < maxQueuedBytes) {
      return true;
    }
    waitingBodies.add(body);
    return false;
  }

  long now() {
    return clock.nanos();
  }

  long maxIdleNanosForNonRepeatable() {
    return maxIdleForNonRepeatable.toNanos();
  }

  /** Sends a request; the listener receives the response. */
  public Call send(CallRequest request, CallListener listener) {
    Call call = new Call(request, listener);
    long now = clock.nanos();
    Iterator<UpstreamConnection> latestFirst = idleConnections.descendingIterator();
    while (latestFirst.hasNext()) {
      UpstreamConnection c = latestFirst.next();
      if (!c.usable(request.repeatable(), now)) {
        latestFirst.remove();
        c.close();
      } else if (c.canTellResponsesOf(request)) {
        latestFirst.remove();
        start(call, c);
        return call;
      }
    }
    connect(call);
    return call;
  }

  private static void start(Call call, UpstreamConnection c) {
    call.assignConnection(c);
    c.send(call, call.request());
  }

  private void connect(Call call) {
    Bootstrap b = new Bootstrap().group(loop).channel(NioSocketChannel.class);
    ChannelOptions.all().forEach((option, value) -> setOption(b, option, value));
    b.option(ChannelOption.RECVBUF_ALLOCATOR, ChannelOptions.readSizes());
    b.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeout.toMillis());
    b.handler(
        new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel ch) {
            var decoder = new ResponseDecoder();
            var connection = new UpstreamConnection(UpstreamPool.this, ch, decoder);
            ch.pipeline().addLast("counter", connection.byteCounter());
            ch.pipeline().addLast("decoder", decoder);
            ch.pipeline().addLast("encoder", new HttpRequestEncoder());
            ch.pipeline().addLast("connection", connection);
          }
        });
    b.connect(address).addListener((ChannelFuture f) -> connectFinished(f, call));
  }

  private static void connectFinished(ChannelFuture f, Call call) {
    if (call.done()) {
      var unused = f.channel().close();
    } else if (f.isSuccess()) {
      start(call, (UpstreamConnection) f.channel().pipeline().get("connection"));
    } else {
      call.markDone();
      call.listener().failed(CallFailure.NOT_SENT, String.valueOf(f.cause().getMessage()));
    }
  }

  @SuppressWarnings("unchecked")
  private static void setOption(Bootstrap b, ChannelOption<?> option, Object value) {
    b.option((ChannelOption<Object>) option, value);
  }

  void returnIdle(UpstreamConnection c) {
    if (closed) {
      c.close();
    } else {
      idleConnections.addLast(c);
    }
  }

  void connectionClosed(UpstreamConnection c) {
    idleConnections.remove(c);
  }

  /** Closes idle connections; those in use are closed at the end of their call. */
  public void close() {
    closed = true;
    idleConnections.forEach(UpstreamConnection::close);
    idleConnections.clear();
  }
}
