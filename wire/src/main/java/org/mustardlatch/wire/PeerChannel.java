package org.mustardlatch.wire;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.ssl.SslHandshakeCompletionEvent;
import io.netty.handler.ssl.SslHandshakeTimeoutException;
import java.io.IOException;
import java.util.Set;
import javax.net.ssl.SSLException;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.peer.PeerMessage;
import org.mustardlatch.wire.generated.PeerProto.Envelope;
import org.mustardlatch.wire.generated.PeerProto.Ping;
import org.mustardlatch.wire.generated.PeerProto.Pong;

/**
 * Handler of one connection: verifies the identity of the peer and the sequence numbers of frames,
 * and sends pings. Fields that are not volatile are confined to the event loop.
 */
final class PeerChannel extends SimpleChannelInboundHandler<Envelope> {
  private final PeerTransport transport;
  private final boolean accepted;
  private final @Nullable Link opener;
  private volatile @Nullable Channel channel;
  private volatile @Nullable HostId host;
  private @Nullable Set<String> certificateNames;
  private boolean refused;
  private long lastSentSequence;
  private long lastReceivedSequence;
  private long openedNanos;
  private long lastReadNanos;
  private long lastMessageNanos;
  private long awaitingFrameSinceNanos;
  private boolean awaitingFrame;
  private boolean pingSent;

  /**
   * @param opener the link that opened the connection; null for an accepted one
   */
  PeerChannel(PeerTransport transport, @Nullable Link opener) {
    this.transport = transport;
    this.accepted = opener == null;
    this.opener = opener;
  }

  boolean accepted() {
    return accepted;
  }

  /** Returns the peer of the connection, or null until it is identified. */
  @Nullable HostId host() {
    return host;
  }

  boolean isWritable() {
    Channel c = channel;
    return c != null && c.isActive() && c.isWritable();
  }

  /** Sends a message; may be called on any thread. */
  void send(PeerMessage message) {
    Channel c = channel;
    if (c != null) {
      c.eventLoop().execute(() -> writeMessage(c, message));
    }
  }

  private void writeMessage(Channel c, PeerMessage message) {
    Envelope.Builder b = Envelope.newBuilder();
    PeerCodec.encode(message, b);
    long now = System.nanoTime();
    lastMessageNanos = now;
    startAwaitingFrame(now);
    write(c, b);
  }

  /** Runs a task on the event loop of the connection. */
  void runOnEventLoop(Runnable task) {
    Channel c = channel;
    if (c != null) {
      c.eventLoop().execute(task);
    }
  }

  void close() {
    Channel c = channel;
    if (c != null) {
      close(c);
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    long now = System.nanoTime();
    openedNanos = now;
    lastReadNanos = now;
    lastMessageNanos = now;
    channel = context.channel();
    transport.channelOpened(this);
    if (context.pipeline().get(SslHandler.class) == null) {
      connectionReady();
    }
    context.fireChannelActive();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof SslHandshakeCompletionEvent handshake) {
      if (handshake.isSuccess()) {
        SslHandler ssl = context.pipeline().get(SslHandler.class);
        certificateNames = CertificateNames.of(ssl.engine().getSession());
        connectionReady();
      } else if (handshake.cause() instanceof SSLException
          && !(handshake.cause() instanceof SslHandshakeTimeoutException)) {
        refuse(FrameRefusal.STRANGER);
      }
    }
    context.fireUserEventTriggered(event);
  }

  /**
   * Attaches a connection that this node opened to its link, once the connection can carry frames:
   * after the TLS handshake, or at once without TLS.
   */
  private void connectionReady() {
    if (opener == null) {
      return;
    }
    HostId expected = opener.host();
    if (expected != null && !certificateAllows(expected)) {
      refuse(FrameRefusal.HOST_MISMATCH);
      return;
    }
    host = expected;
    opener.attach(this);
  }

  private boolean certificateAllows(HostId claimed) {
    Set<String> names = certificateNames;
    return names == null || names.contains(claimed.value());
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Envelope envelope) {
    if (refused) {
      return;
    }
    long now = System.nanoTime();
    HostId from = validatedSender(envelope);
    if (from == null) {
      return;
    }
    transport.counters().framesReceived.increment();
    lastReadNanos = now;
    awaitingFrame = false;
    pingSent = false;
    if (host == null) {
      host = from;
      transport.peerIdentified(this, from);
    }
    transport.frameReceived(this);
    switch (envelope.getBodyCase()) {
      case PING ->
          write(context.channel(), Envelope.newBuilder().setPong(Pong.getDefaultInstance()));
      case PONG -> {}
      default -> deliver(from, envelope, now);
    }
  }

  private void deliver(HostId from, Envelope envelope, long now) {
    lastMessageNanos = now;
    PeerMessage message;
    try {
      message = PeerCodec.decode(envelope);
    } catch (IllegalArgumentException e) {
      refuse(FrameRefusal.MALFORMED);
      return;
    }
    transport.deliver(from, envelope.getIncarnation(), message);
  }

  /** Returns the sender of a valid frame; refuses other frames and returns null. */
  private @Nullable HostId validatedSender(Envelope envelope) {
    if (envelope.getSequence() != lastReceivedSequence + 1) {
      refuse(FrameRefusal.REPLAYED);
      return null;
    }
    lastReceivedSequence++;
    HostId claimed;
    try {
      claimed = new HostId(envelope.getHost());
    } catch (IllegalArgumentException e) {
      refuse(FrameRefusal.MALFORMED);
      return null;
    }
    HostId identified = host;
    if (!certificateAllows(claimed) || (identified != null && !identified.equals(claimed))) {
      refuse(FrameRefusal.HOST_MISMATCH);
      return null;
    }
    if (claimed.equals(transport.host())) {
      refuse(FrameRefusal.OWN_HOST);
      return null;
    }
    return claimed;
  }

  private void refuse(FrameRefusal reason) {
    if (refused) {
      return;
    }
    refused = true;
    transport.counters().countRefusal(reason);
    if (opener != null) {
      opener.connectionRefused(this);
    }
    close();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (cause instanceof TooLongFrameException) {
      refuse(FrameRefusal.OVERSIZED);
    } else if (cause instanceof DecoderException && cause.getCause() instanceof SSLException) {
      refuse(FrameRefusal.STRANGER);
    } else if (cause instanceof DecoderException) {
      refuse(FrameRefusal.MALFORMED);
    } else if (!(cause instanceof IOException)) {
      transport.reportUnexpectedError(cause);
    }
    close(context.channel());
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    transport.writabilityChanged(this);
    context.fireChannelWritabilityChanged();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    transport.channelClosed(this, opener);
    context.fireChannelInactive();
  }

  /**
   * Sends a ping if one is necessary and closes the connection if it is silent, unused or
   * unidentified. Runs on the event loop.
   *
   * @param now current time, nanoseconds
   * @param delayed whether this check runs so late that the process was probably paused; the
   *     silence timeout then starts again
   */
  void checkLiveness(long now, boolean delayed) {
    Channel c = channel;
    if (c == null || !c.isActive()) {
      return;
    }
    if (delayed && awaitingFrame) {
      awaitingFrameSinceNanos = now;
    }
    if (host == null) {
      if (now - openedNanos > TransportLimits.IDENTIFICATION_TIMEOUT_NANOS) {
        refuse(FrameRefusal.UNIDENTIFIED);
      }
      return;
    }
    if (awaitingFrame && now - awaitingFrameSinceNanos > transport.silenceTimeoutNanos(this)) {
      transport.counters().silentClosed.increment();
      transport.connectionSilent(this);
      close(c);
    } else if (now - lastMessageNanos > TransportLimits.UNUSED_TIMEOUT_NANOS) {
      transport.counters().unusedClosed.increment();
      close(c);
    } else if (!pingSent && needsPing(now)) {
      pingSent = true;
      startAwaitingFrame(now);
      write(c, Envelope.newBuilder().setPing(Ping.getDefaultInstance()));
    }
  }

  private boolean needsPing(long now) {
    return awaitingFrame
        ? now - awaitingFrameSinceNanos > TransportLimits.PING_DELAY_NANOS
        : now - lastReadNanos > TransportLimits.IDLE_PING_INTERVAL_NANOS;
  }

  private void startAwaitingFrame(long now) {
    if (!awaitingFrame) {
      awaitingFrame = true;
      awaitingFrameSinceNanos = now;
    }
  }

  /** Ignores a failure to close because the connection is unusable in either case. */
  @SuppressWarnings("FutureReturnValueIgnored")
  private static void close(Channel c) {
    c.close();
  }

  /** Writes a frame. The void promise reports a failure to {@link #exceptionCaught}. */
  @SuppressWarnings("FutureReturnValueIgnored")
  private void write(Channel c, Envelope.Builder envelope) {
    envelope
        .setHost(transport.host().value())
        .setIncarnation(transport.incarnation())
        .setSequence(++lastSentSequence);
    transport.counters().framesSent.increment();
    c.writeAndFlush(envelope.build(), c.voidPromise());
  }
}
