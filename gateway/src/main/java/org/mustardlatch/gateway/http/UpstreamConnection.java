package org.mustardlatch.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;

/** A connection to an upstream that carries one call at a time. Used on the event loop only. */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
  /** Keep-alive timeout that is assumed if the upstream states none. */
  private static final Duration DEFAULT_KEEP_ALIVE = Duration.ofSeconds(4);

  private static final long MAX_KEEP_ALIVE_SECONDS = 3_600;

  // Leaves room for interim responses and for late responses to earlier requests.
  private static final int MAX_BYTES_BEFORE_RESPONSE = 1 << 18;

  /** Number of requests after which a connection is closed, as it remembers all their ids. */
  private static final int MAX_REQUESTS = 256;

  private final UpstreamPool pool;
  private final Set<String> requestIds = new HashSet<>();
  private final ResponseDecoder decoder;
  private final Channel channel;
  private @Nullable Call call;
  // Null until the end of the request has been passed to the channel.
  private @Nullable ChannelFuture requestWritten;
  private @Nullable BodySink bodySink;
  private boolean carriedRequestWithoutId;
  private boolean skippingResponse;
  private boolean headReceived;
  private boolean closeAfterResponse;
  private ResponseEnd responseEnd = ResponseEnd.FRAMING;
  private boolean closed;
  private long keepAliveNanos = DEFAULT_KEEP_ALIVE.toNanos();
  private long idleSinceNanos;
  private long bytesBeforeResponse;
  private long bodyBytes;

  UpstreamConnection(UpstreamPool pool, Channel channel, ResponseDecoder decoder) {
    this.pool = pool;
    this.channel = channel;
    this.decoder = decoder;
  }

  /** Returns whether a call may use this idle connection, given the current time in nanoseconds. */
  boolean usable(boolean repeatable, long now) {
    long idle = now - idleSinceNanos;
    // The upstream measures its timeout by its own clock, and its close takes time to arrive, so
    // only a part of the timeout is used.
    long limit =
        repeatable
            ? keepAliveNanos * 3 / 4
            : Math.min(keepAliveNanos / 4, pool.maxIdleNanosForNonRepeatable());
    return channel.isActive() && !closed && idle < limit;
  }

  /**
   * Returns whether a late copy of an earlier response on this connection could not be taken for
   * the response to the request. Among requests without ids that may be repeated it could be, which
   * is harmless.
   */
  boolean canTellResponsesOf(CallRequest request) {
    String id = request.id();
    if (id == null) {
      return requestIds.isEmpty() && (request.repeatable() || !carriedRequestWithoutId);
    }
    return !carriedRequestWithoutId && !requestIds.contains(id);
  }

  void send(Call next, CallRequest request) {
    call = next;
    String id = request.id();
    if (id == null) {
      carriedRequestWithoutId = true;
    } else {
      requestIds.add(id);
    }
    headReceived = false;
    closeAfterResponse = false;
    bytesBeforeResponse = 0;
    bodyBytes = 0;
    HttpHeaders headers = request.head().headers();
    decoder.expectNoBody(HttpMethod.HEAD.equals(request.head().method()));
    headers.remove(HttpHeaderNames.TRANSFER_ENCODING);
    RequestBody body = request.body();
    if (body.isComplete()) {
      byte[] bytes = body.bytes();
      if (bytes.length > 0 || headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
        headers.set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
      }
      var unused = channel.write(request.head());
      requestWritten =
          channel.writeAndFlush(new DefaultLastHttpContent(Unpooled.wrappedBuffer(bytes)));
    } else {
      sendArrivingBody(request.head(), body);
    }
    next.listener().sent();
  }

  /** Sends what has arrived of a body, and the rest when it arrives. */
  private void sendArrivingBody(HttpRequest head, RequestBody body) {
    requestWritten = null;
    if (body.statedLength() == RequestBody.UNKNOWN_LENGTH) {
      head.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
      head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    } else {
      head.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.statedLength());
    }
    var unused = channel.write(head);
    BodySink sink = new BodySink(body);
    bodySink = sink;
    ByteBuf held = Unpooled.wrappedBuffer(body.bytes());
    body.attach(sink);
    channel
        .writeAndFlush(new DefaultHttpContent(held))
        .addListener(
            f -> {
              body.heldPartWritten();
              body.resume();
            });
  }

  private void detachBody() {
    BodySink sink = bodySink;
    bodySink = null;
    if (sink != null) {
      sink.body.detach(sink);
      pool.bodyDetached(sink.body);
    }
  }

  /** Sends a request body while it arrives. */
  private final class BodySink implements RequestBody.Sink {
    private final RequestBody body;

    BodySink(RequestBody body) {
      this.body = body;
    }

    @Override
    public void partArrived(ByteBuf part) {
      int count = part.readableBytes();
      pool.bytesQueued(count);
      channel
          .writeAndFlush(new DefaultHttpContent(part))
          .addListener(
              f -> {
                pool.bytesWritten(count);
                body.partWritten(count);
              });
    }

    @Override
    public void ended() {
      requestWritten = channel.writeAndFlush(new DefaultLastHttpContent());
    }

    @Override
    public boolean ready() {
      return pool.hasRoom(body);
    }
  }

  void setAutoRead(boolean read) {
    channel.config().setAutoRead(read);
  }

  void close() {
    detachBody();
    call = null;
    closed = true;
    var unused = channel.close();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (message instanceof HttpResponse r) {
        handleHead(r);
      }
      if (message instanceof HttpContent c) {
        handleContent(c);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  /**
   * Counts received bytes. The decoder limits the length of a line and of a head, but skips blank
   * bytes before a head, and any number of responses may belong to no request.
   */
  private void bytesReceived(int count) {
    if (call == null) {
      // The bytes belong to no request; a part of a response would be followed by the rest of it.
      close();
    } else if (!headReceived) {
      bytesBeforeResponse += count;
      if (bytesBeforeResponse > MAX_BYTES_BEFORE_RESPONSE) {
        failCall(CallFailure.GARBLED, "no response within " + MAX_BYTES_BEFORE_RESPONSE + " bytes");
      }
    }
  }

  private void handleHead(HttpResponse r) {
    Call c = call;
    if (r.decoderResult().isFailure()) {
      failCall(CallFailure.GARBLED, "no HTTP response" + detail(r.decoderResult().cause()));
      return;
    }
    if (c == null) {
      // The response belongs to no request.
      close();
      return;
    }
    boolean interim = r.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    skippingResponse = interim || !c.request().matches(r);
    if (skippingResponse) {
      skipped(r, interim);
      return;
    }
    headReceived = true;
    responseEnd =
        decoder.endsWithConnection(r) ? ResponseEnd.CONNECTION_CLOSE : ResponseEnd.FRAMING;
    readKeepAliveTimeout(r.headers());
    if (r.headers().containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true)
        || r.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
      closeAfterResponse = true;
    }
    pool.headReceived(r);
    c.listener().headReceived(r);
  }

  /** Returns what is invalid; other messages may hold bytes of the response, and are left out. */
  private static String detail(Throwable cause) {
    return cause instanceof ResponseDecoder.InvalidHeadException ? ": " + cause.getMessage() : "";
  }

  private void skipped(HttpResponse r, boolean interim) {
    if (!interim) {
      // The connection carried a response to another request, so it is not reused.
      closeAfterResponse = true;
      EventLog.log(
          LogEvent.RESPONSE_UNMATCHED,
          String.valueOf(call == null ? null : call.request().id()),
          channel.remoteAddress(),
          r.status().code());
    }
  }

  private void readKeepAliveTimeout(HttpHeaders headers) {
    String value = headers.get("Keep-Alive");
    if (value == null) {
      return;
    }
    for (String part : value.split(",", -1)) {
      String p = part.strip();
      if (p.startsWith("timeout=")) {
        try {
          long seconds = Long.parseLong(p.substring(8).strip());
          keepAliveNanos = TimeUnit.SECONDS.toNanos(Math.min(seconds, MAX_KEEP_ALIVE_SECONDS));
        } catch (NumberFormatException e) {
          // An invalid value falls back to the default, which is short.
          keepAliveNanos = DEFAULT_KEEP_ALIVE.toNanos();
        }
      }
    }
  }

  private void handleContent(HttpContent content) {
    Call c = call;
    if (c == null || closed) {
      return;
    }
    if (content.decoderResult().isFailure()) {
      failCall(CallFailure.GARBLED, "broken body");
      return;
    }
    if (skippingResponse) {
      skippingResponse = !(content instanceof LastHttpContent);
      return;
    }
    if (!headReceived) {
      return;
    }
    bodyBytes += content.content().readableBytes();
    if (bodyBytes > c.request().maxResponseBytes()) {
      failCall(CallFailure.GARBLED, "body exceeds " + c.request().maxResponseBytes() + " bytes");
      return;
    }
    if (content.content().isReadable()) {
      c.listener().bodyReceived(content.content());
    }
    if (content instanceof LastHttpContent && call == c) {
      if (responseEnd == ResponseEnd.CONNECTION_CLOSE && !requestIsWritten()) {
        failCall(CallFailure.BROKEN, "connection closed before the request was written");
      } else {
        completeCall(c);
      }
    }
  }

  /**
   * Returns whether the whole request has left this node. Until then, the end of the connection
   * does not tell whether it was reset: a write that meets a reset takes the error, and the
   * connection then ends as if in order.
   */
  private boolean requestIsWritten() {
    ChannelFuture w = requestWritten;
    return w != null && w.isSuccess();
  }

  private void completeCall(Call c) {
    detachBody();
    call = null;
    // A request that is not fully written must not be mixed with the next one.
    boolean reusable =
        !closeAfterResponse
            && requestIds.size() < MAX_REQUESTS
            && !decoder.hasUnreadBytes()
            && requestIsWritten()
            && channel.isActive();
    idleSinceNanos = pool.now();
    setAutoRead(true);
    c.markDone();
    if (reusable) {
      pool.returnIdle(this);
    } else {
      close();
    }
    c.listener().completed(responseEnd);
  }

  private void failCall(CallFailure failure, String reason) {
    Call c = call;
    close();
    pool.connectionClosed(this);
    if (c != null) {
      c.markDone();
      c.listener().failed(failure, reason);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    failCall(CallFailure.BROKEN, "connection closed by upstream");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    FatalErrors.endProcessIfFatal(cause);
    failCall(CallFailure.BROKEN, String.valueOf(cause.getMessage()));
  }

  /** Returns the handler that counts bytes, which must precede the decoder. */
  ChannelInboundHandlerAdapter byteCounter() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(ChannelHandlerContext ctx, Object message) {
        bytesReceived(((ByteBuf) message).readableBytes());
        if (closed) {
          ReferenceCountUtil.release(message);
        } else {
          ctx.fireChannelRead(message);
        }
      }
    };
  }
}
