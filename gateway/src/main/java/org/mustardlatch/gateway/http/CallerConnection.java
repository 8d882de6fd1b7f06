package org.mustardlatch.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Objects;
import java.util.Queue;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.time.TimerSubscription;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;

/**
 * A caller's connection. Requests are processed one at a time; pipelined requests are queued. Used
 * on the event loop only.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
  // Decoded parts of pipelined requests; reading is paused when more than this are queued, until
  // the queue is empty.
  private static final int MAX_QUEUED_PARTS = 64;

  // Callers that use a connection again at once have sent their request by then.
  private static final Duration LAST_REQUEST_WAIT = Duration.ofMillis(500);

  private final CallerServer server;
  private final Channel channel;
  private final Queue<HttpObject> queuedParts = new ArrayDeque<>();
  private @Nullable HttpRequest head;
  private long headNanos;
  private ByteArrayOutputStream body = new ByteArrayOutputStream();
  private @Nullable CallerExchange currentExchange;
  private boolean keepAlive;
  // Whether the head of the current response says that the connection will be closed.
  private boolean closeAnnounced;
  // Whether one more request is read, because the last response did not announce the close.
  private boolean awaitingLastRequest;
  private boolean closing;
  private long idleSinceNanos;
  private @Nullable TimerSubscription idleTimer;
  private Runnable writabilityTask = () -> {};

  CallerConnection(CallerServer server, Channel channel) {
    this.server = server;
    this.channel = channel;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    server.connectionOpened(this);
    startIdleTimer();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (closing) {
      ReferenceCountUtil.release(message);
      return;
    }
    queuedParts.add((HttpObject) message);
    if (queuedParts.size() > MAX_QUEUED_PARTS) {
      channel.config().setAutoRead(false);
    }
    drainQueue();
  }

  private void drainQueue() {
    while (currentExchange == null && !closing && !queuedParts.isEmpty()) {
      HttpObject o = queuedParts.remove();
      try {
        processPart(o);
      } finally {
        ReferenceCountUtil.release(o);
      }
    }
    if (queuedParts.isEmpty()) {
      channel.config().setAutoRead(true);
    }
  }

  private void processPart(HttpObject o) {
    if (o.decoderResult().isFailure()) {
      reject(HttpResponseStatus.BAD_REQUEST);
      return;
    }
    if (o instanceof HttpRequest r) {
      head = r;
      headNanos = server.now();
      body = new ByteArrayOutputStream();
      stopIdleTimer();
      if (HttpUtil.is100ContinueExpected(r)) {
        var unused =
            channel.writeAndFlush(
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
      }
    }
    if (o instanceof HttpContent c && head != null) {
      ByteBuf content = c.content();
      if (body.size() + content.readableBytes() > server.limits().maxBodyBytes()) {
        reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        return;
      }
      byte[] bytes = new byte[content.readableBytes()];
      content.readBytes(bytes);
      body.writeBytes(bytes);
      if (o instanceof LastHttpContent) {
        HttpRequest r = Objects.requireNonNull(head);
        head = null;
        keepAlive = HttpUtil.isKeepAlive(r);
        closeAnnounced = !keepAlive;
        CallerExchange e =
            new CallerExchange(this, r, body.toByteArray(), headNanos, awaitingLastRequest);
        currentExchange = e;
        server.handler().requestReceived(e);
      }
    }
  }

  private void reject(HttpResponseStatus status) {
    closing = true;
    var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }

  private boolean mustClose() {
    return !keepAlive || server.draining();
  }

  void sendResponse(
      CallerExchange e, HttpResponseStatus status, HttpHeaders headers, byte[] content) {
    HttpHeaders h = endToEndHeaders(headers);
    boolean bodiless =
        status.code() == 204 || status.code() == 304 || e.head().method().equals(HttpMethod.HEAD);
    if (status.code() != 204) {
      String statedLength = headers.get(HttpHeaderNames.CONTENT_LENGTH);
      h.set(
          HttpHeaderNames.CONTENT_LENGTH,
          bodiless && statedLength != null ? statedLength : String.valueOf(content.length));
    }
    boolean close = mustClose();
    if (close) {
      h.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    var response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            status,
            Unpooled.wrappedBuffer(bodiless ? new byte[0] : content),
            h,
            EmptyHttpHeaders.INSTANCE);
    finishExchange(channel.writeAndFlush(response), close);
  }

  void beginResponse(CallerExchange e, HttpResponseStatus status, HttpHeaders headers) {
    HttpHeaders h = endToEndHeaders(headers);
    h.remove(HttpHeaderNames.CONTENT_LENGTH);
    h.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    if (mustClose()) {
      keepAlive = false;
      closeAnnounced = true;
      h.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, h);
    var unused = channel.write(response);
  }

  void sendBodyPart(ByteBuf part) {
    var unused = channel.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer(part)));
  }

  void endResponse() {
    var sent = channel.writeAndFlush(new DefaultLastHttpContent());
    if (mustClose() && !closeAnnounced) {
      // The caller may have sent its next request already, and must get a response to it.
      awaitingLastRequest = true;
      finishExchange(sent, false);
    } else {
      finishExchange(sent, mustClose());
    }
  }

  private void finishExchange(io.netty.channel.ChannelFuture sent, boolean close) {
    currentExchange = null;
    writabilityTask = () -> {};
    if (close) {
      closing = true;
      sent.addListener(ChannelFutureListener.CLOSE);
    } else {
      startIdleTimer();
      drainQueue();
    }
  }

  void abort() {
    closing = true;
    currentExchange = null;
    // Close with a reset, since an orderly close could be taken for the end of the response.
    try {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
    } catch (ChannelException e) {
      EventLog.log(LogEvent.CALLER_CONNECTION_BROKEN, String.valueOf(e.getMessage()));
    }
    var unused = channel.close();
  }

  boolean writable() {
    return channel.isWritable();
  }

  void onWritabilityChange(Runnable task) {
    writabilityTask = task;
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    writabilityTask.run();
  }

  /**
   * Closes the connection unless a request is in progress or partly received, or one more request
   * is awaited.
   */
  void closeIfIdle() {
    if (!awaitingLastRequest) {
      closeIfNoRequest();
    }
  }

  private void closeIfNoRequest() {
    if (currentExchange == null && head == null && queuedParts.isEmpty()) {
      closing = true;
      var unused = channel.close();
    }
  }

  private void startIdleTimer() {
    stopIdleTimer();
    idleSinceNanos = server.now();
    Duration limit =
        awaitingLastRequest
            ? LAST_REQUEST_WAIT
            : server.limits().idleTimeout().plus(CallerServer.IDLE_MARGIN);
    idleTimer = server.timers().schedule(limit, this::idleTimerFired);
  }

  private void idleTimerFired() {
    if (awaitingLastRequest
        || server.now() - idleSinceNanos >= server.limits().idleTimeout().toNanos()) {
      closeIfNoRequest();
    }
  }

  private void stopIdleTimer() {
    if (idleTimer != null) {
      idleTimer.cancel();
      idleTimer = null;
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    closing = true;
    stopIdleTimer();
    server.connectionClosed(this);
    queuedParts.forEach(ReferenceCountUtil::release);
    queuedParts.clear();
    CallerExchange e = currentExchange;
    currentExchange = null;
    if (e != null) {
      e.markCallerDisconnected();
      server.handler().callerDisconnected(e);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    // The caller reset the connection; channelInactive follows.
    var unused = channel.close();
  }

  /** Returns a copy of the headers without the hop-by-hop headers. */
  private static HttpHeaders endToEndHeaders(HttpHeaders headers) {
    HttpHeaders h = new DefaultHttpHeaders(false);
    h.add(headers);
    HopByHopHeaders.strip(h);
    return h;
  }
}
