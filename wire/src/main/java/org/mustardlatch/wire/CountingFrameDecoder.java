package org.mustardlatch.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.util.List;

/** Decodes length-prefixed frames and counts frames truncated by the end of the connection. */
final class CountingFrameDecoder extends LengthFieldBasedFrameDecoder {
  private final TransportCounters counters;

  CountingFrameDecoder(TransportCounters counters) {
    super(
        TransportLimits.MAX_FRAME_BYTES,
        0,
        TransportLimits.LENGTH_PREFIX_BYTES,
        0,
        TransportLimits.LENGTH_PREFIX_BYTES);
    this.counters = counters;
  }

  @Override
  protected void decodeLast(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    super.decodeLast(context, in, out);
    if (out.isEmpty() && in.isReadable()) {
      counters.countRefusal(FrameRefusal.TRUNCATED);
      in.skipBytes(in.readableBytes());
    }
  }
}
