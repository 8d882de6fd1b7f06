package org.mustardlatch.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/** Counts the bytes on the socket, next to it in the pipeline. */
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

  /** The promise reports failures to its owner. */
  @Override
  @SuppressWarnings("FutureReturnValueIgnored")
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (message instanceof ByteBuf b) {
      counters.bytesSent.add(b.readableBytes());
    }
    context.write(message, promise);
  }
}
