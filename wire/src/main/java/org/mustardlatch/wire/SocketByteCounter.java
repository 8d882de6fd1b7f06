package org.mustardlatch.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/** Counts the bytes on the socket, as the first handler of the pipeline. */
@Sharable
final class SocketByteCounter extends ChannelDuplexHandler {
  private final TransportCounters counters;

  SocketByteCounter(TransportCounters counters) {
    this.counters = counters;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof ByteBuf b) {
      counters.bytesReceived.add(b.readableBytes());
    }
    context.fireChannelRead(message);
  }

  /** Counts and writes the bytes. The promise reports a failure to the caller. */
  @Override
  @SuppressWarnings("FutureReturnValueIgnored")
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (message instanceof ByteBuf b) {
      counters.bytesSent.add(b.readableBytes());
    }
    context.write(message, promise);
  }
}
