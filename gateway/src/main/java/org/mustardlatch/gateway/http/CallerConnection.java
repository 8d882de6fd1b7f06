package org.mustardlatch.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.DuplexChannel;
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
import java.time.Duration;
import java.util.ArrayDeque;
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
  private static final long MAX_QUEUED_BYTES = 16 << 10;

  // A caller that gets a response before it has sent its whole request needs time to read it.
  private static final Duration CLOSE_DELAY = Duration.ofSeconds(1);

  // Callers that use a connection again at once have sent their request by then.
  private static final Duration LAST_REQUEST_WAIT = Duration.ofMillis(500);

  private final CallerServer server;
  private final Channel channel;
  private final Queue<HttpObject> queuedParts = new ArrayDeque<>();
  private @Nullable HttpRequest head;
  private long headNanos;
  private long receivedBytes;
  private RequestBody body = new RequestBody(0);
  // Whether the request has been handled although its body has not arrived completely.
  private boolean bodyArriving;
  private BufferBudget.@Nullable Reservation smallReservation;
  private BufferBudget.@Nullable Reservation wholeReservation;
  private BufferBudget.@Nullable Window bodyWindow;
  private BufferBudget.@Nullable Window outbound;
  private long queuedBytes;
  private boolean queuePaused;
  private @Nullable CallerExchange currentExchange;
  private boolean keepAlive;
  // Whether the head of the current response says that the connection will be closed.
  private boolean closeAnnounced;
  // Whether one more request is read, because the last response did not announce the close.
  private boolean awaitingLastRequest;
  private boolean closing;
  private long idleSinceNanos;
  private @Nullable TimerSubscription idleTimer;
  private @Nullable TimerSubscription bodyTimer;
  private long bodyBytesAtLastCheck;
  private Runnable roomTask = () -> {};

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
    HttpObject part = (HttpObject) message;
    queuedParts.add(part);
    queuedBytes += length(part);
    if (queuedParts.size() > MAX_QUEUED_PARTS || queuedBytes > MAX_QUEUED_BYTES) {
      queuePaused = true;
    }
    drainQueue();
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (head != null && bodyTimer == null) {
      startBodyTimer();
    }
  }

  private static int length(HttpObject part) {
    return part instanceof HttpContent c ? c.content().readableBytes() : 0;
  }

  /** Returns whether the next part belongs to the request in progress, or may start another. */
  private boolean mayProcessNext() {
    return bodyArriving
        || (currentExchange == null && (head != null || channel.isWritable()) && !closing);
  }

  private void drainQueue() {
    while (mayProcessNext() && !queuedParts.isEmpty()) {
      HttpObject o = queuedParts.remove();
      queuedBytes -= length(o);
      try {
        processPart(o);
      } finally {
        ReferenceCountUtil.release(o);
      }
    }
    if (queuedParts.isEmpty()) {
      queuePaused = false;
    }
    updateReading();
  }

  /** Reads from the caller only while the node has room for what it sends. */
  private void updateReading() {
    BufferBudget.Reservation r = wholeReservation;
    boolean mayReceive = (r == null || r.granted()) && body.mayReceive();
    channel.config().setAutoRead(closing || (!queuePaused && mayReceive));
  }

  private void processPart(HttpObject o) {
    if (o.decoderResult().isFailure()) {
      reject(HttpResponseStatus.BAD_REQUEST);
      return;
    }
    if (o instanceof HttpRequest r) {
      head = r;
      headNanos = server.now();
      stopIdleTimer();
      if (!beginBody(r)) {
        reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        return;
      }
      if (HttpUtil.is100ContinueExpected(r)) {
        var unused =
            channel.writeAndFlush(
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
      }
    }
    if (o instanceof HttpContent c && (head != null || bodyArriving)) {
      receiveContent(c);
    }
  }

  /**
   * Prepares to receive a body.
   *
   * @return whether this node can hold it
   */
  private boolean beginBody(HttpRequest r) {
    boolean chunked = HttpUtil.isTransferEncodingChunked(r);
    long length = chunked ? RequestBody.UNKNOWN_LENGTH : HttpUtil.getContentLength(r, 0L);
    body = new RequestBody(length);
    receivedBytes = 0;
    if (length > server.limits().maxBodyBytes()) {
      return false;
    }
    if (length <= BufferBudget.SMALL_BYTES) {
      smallReservation =
          server.buffers().tryReserveSmall(chunked ? BufferBudget.SMALL_BYTES : length);
      return smallReservation != null || holdWhole(length);
    }
    return beginLongBody(r, length);
  }

  private boolean beginLongBody(HttpRequest r, long length) {
    if (!server.handler().mayPassThrough(r)) {
      return holdWhole(length);
    }
    BufferBudget.Window w = server.buffers().openWindow(this::updateReading);
    bodyWindow = w;
    body.passThrough(w, this::updateReading);
    return true;
  }

  /** Reserves memory for the whole body, or for the longest one if its length is not known. */
  private boolean holdWhole(long length) {
    BufferBudget budget = server.buffers();
    long longest = Math.min(server.limits().maxBodyBytes(), budget.maxWholeBytes());
    long bytes = length == RequestBody.UNKNOWN_LENGTH ? longest : length;
    if (!budget.fits(bytes)) {
      return false;
    }
    wholeReservation = budget.reserve(bytes, this::updateReading);
    return true;
  }

  private void receiveContent(HttpContent part) {
    long length = receivedBytes + part.content().readableBytes();
    boolean tooLong = length > server.limits().maxBodyBytes();
    boolean becomesLong =
        body.statedLength() == RequestBody.UNKNOWN_LENGTH
            && receivedBytes <= BufferBudget.SMALL_BYTES
            && length > BufferBudget.SMALL_BYTES
            && wholeReservation == null;
    HttpRequest r = head;
    if (tooLong || (becomesLong && r != null && !beginLongBody(r, body.statedLength()))) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      return;
    }
    receivedBytes = length;
    body.append(part.content());
    if (part instanceof LastHttpContent) {
      body.complete();
      bodyArriving = false;
      stopBodyTimer();
    }
    boolean passPrefix = body.passesThrough() && body.heldLength() >= RequestBody.PREFIX_BYTES;
    if (r != null && (body.isComplete() || passPrefix)) {
      handleRequest(r);
    }
  }

  private void handleRequest(HttpRequest r) {
    head = null;
    stopBodyTimer();
    bodyArriving = !body.isComplete();
    keepAlive = HttpUtil.isKeepAlive(r);
    closeAnnounced = !keepAlive;
    BufferBudget.Reservation small = smallReservation;
    if (small != null) {
      small.shrinkTo(receivedBytes);
    }
    CallerExchange e = new CallerExchange(this, r, body, headNanos, awaitingLastRequest);
    currentExchange = e;
    server.handler().requestReceived(e);
  }

  /** Ends a request whose caller stops sending before it could be handled. */
  private void startBodyTimer() {
    stopBodyTimer();
    bodyBytesAtLastCheck = receivedBytes;
    bodyTimer = server.timers().schedule(server.limits().idleTimeout(), this::checkBodyProgress);
  }

  private void checkBodyProgress() {
    if (channel.config().isAutoRead() && receivedBytes == bodyBytesAtLastCheck) {
      reject(HttpResponseStatus.REQUEST_TIMEOUT);
    } else {
      startBodyTimer();
    }
  }

  private void stopBodyTimer() {
    if (bodyTimer != null) {
      bodyTimer.cancel();
      bodyTimer = null;
    }
  }

  /** Returns the memory of the request, whose body is not needed any more. */
  private void releaseBody() {
    stopBodyTimer();
    bodyArriving = false;
    body = new RequestBody(0);
    if (smallReservation != null) {
      smallReservation.close();
      smallReservation = null;
    }
    if (wholeReservation != null) {
      wholeReservation.close();
      wholeReservation = null;
    }
    if (bodyWindow != null) {
      bodyWindow.close();
      bodyWindow = null;
    }
  }

  private void reject(HttpResponseStatus status) {
    closing = true;
    head = null;
    CallerExchange e = currentExchange;
    currentExchange = null;
    releaseBody();
    if (e != null) {
      // The request is being handled while its body arrives.
      boolean responseStarted = e.responseStarted();
      e.markCallerDisconnected();
      server.handler().callerDisconnected(e);
      if (responseStarted) {
        abort();
        return;
      }
    }
    var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    channel.writeAndFlush(response).addListener(f -> closeAfterResponseIsRead());
    updateReading();
  }

  private boolean mustClose() {
    return !keepAlive || bodyArriving || server.draining();
  }

  void sendResponse(
      CallerExchange e,
      HttpResponseStatus status,
      HttpHeaders headers,
      byte[] content,
      Runnable departed) {
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
    var sent = channel.writeAndFlush(response);
    sent.addListener(f -> departed.run());
    finishExchange(sent, close);
  }

  void beginResponse(HttpResponseStatus status, HttpHeaders headers, boolean lengthIsStated) {
    HttpHeaders h = endToEndHeaders(headers);
    if (lengthIsStated) {
      // The beginning is longer than what may be queued without being counted.
      openOutbound();
    } else {
      h.remove(HttpHeaderNames.CONTENT_LENGTH);
      h.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
    if (mustClose()) {
      keepAlive = false;
      closeAnnounced = true;
      h.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, h);
    var unused = channel.write(response);
  }

  void sendBodyPart(ByteBuf part) {
    int count = part.readableBytes();
    var sent = channel.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer(part)));
    BufferBudget.Window w = outbound;
    if (w != null) {
      w.add(count);
      sent.addListener(f -> outboundDeparted(w, count));
    }
  }

  private void outboundDeparted(BufferBudget.Window w, int count) {
    w.release(count);
    if (w == outbound && w.held() == 0 && channel.isWritable()) {
      closeOutbound();
    }
  }

  private void closeOutbound() {
    BufferBudget.Window w = outbound;
    outbound = null;
    if (w != null) {
      w.close();
    }
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

  private void finishExchange(ChannelFuture sent, boolean close) {
    boolean requestUnread = bodyArriving;
    currentExchange = null;
    roomTask = () -> {};
    releaseBody();
    if (close) {
      closing = true;
      updateReading();
      if (requestUnread) {
        sent.addListener(f -> closeAfterResponseIsRead());
      } else {
        sent.addListener(ChannelFutureListener.CLOSE);
      }
    } else {
      startIdleTimer();
      drainQueue();
    }
  }

  /**
   * Closes the connection of a caller that still sends. A close with unread bytes would reset it,
   * and the caller could lose the response.
   */
  private void closeAfterResponseIsRead() {
    if (channel instanceof DuplexChannel duplex) {
      var unused = duplex.shutdownOutput();
    }
    Runnable close =
        () -> {
          var unusedFuture = channel.close();
        };
    var unused = server.timers().schedule(CLOSE_DELAY, close);
  }

  void abort() {
    closing = true;
    currentExchange = null;
    releaseBody();
    // Close with a reset, since an orderly close could be taken for the end of the response.
    try {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
    } catch (ChannelException e) {
      EventLog.log(LogEvent.CALLER_CONNECTION_BROKEN, String.valueOf(e.getMessage()));
    }
    var unused = channel.close();
  }

  boolean mayBuffer() {
    if (channel.isWritable()) {
      return true;
    }
    return openOutbound().mayReceive();
  }

  private BufferBudget.Window openOutbound() {
    BufferBudget.Window w = outbound;
    if (w == null) {
      w = server.buffers().openWindow(() -> roomTask.run());
      outbound = w;
    }
    return w;
  }

  void onRoomChange(Runnable task) {
    roomTask = task;
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    roomTask.run();
    BufferBudget.Window w = outbound;
    if (w != null && w.held() == 0 && channel.isWritable()) {
      closeOutbound();
    }
    drainQueue();
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
    head = null;
    server.connectionClosed(this);
    queuedParts.forEach(ReferenceCountUtil::release);
    queuedParts.clear();
    CallerExchange e = currentExchange;
    currentExchange = null;
    releaseBody();
    closeOutbound();
    if (e != null) {
      e.markCallerDisconnected();
      server.handler().callerDisconnected(e);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    FatalErrors.endProcessIfFatal(cause);
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
