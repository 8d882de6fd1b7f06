package org.mustardlatch.gateway.http;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.nio.NioChannelOption;
import java.util.LinkedHashMap;
import java.util.Map;
import jdk.net.ExtendedSocketOptions;

/** Socket options that apply to all connections. */
final class ChannelOptions {
  // A connection can stop delivering data while its peer is alive; probes detect that in about 3 s.
  private static final int KEEP_ALIVE_IDLE_S = 1;
  private static final int KEEP_ALIVE_INTERVAL_S = 1;
  private static final int KEEP_ALIVE_PROBES = 2;

  // Without a limit the kernel buffers some megabytes for each connection, which count toward the
  // memory of the host, and a node spends its time on filling them for peers that do not read.
  // A connection between regions needs 126 KB in flight (42 Mbit/s, 24 ms for both ways).
  private static final int SOCKET_BUFFER_BYTES = 128 << 10;

  // A read may exceed the memory that a connection may use by its size.
  private static final int MIN_READ_BYTES = 512;
  private static final int FIRST_READ_BYTES = 2_048;
  private static final int MAX_READ_BYTES = 16_384;

  private ChannelOptions() {}

  /** Returns the sizes of reads, which adapt to what arrives on a connection. */
  static RecvByteBufAllocator readSizes() {
    return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES);
  }

  static Map<ChannelOption<?>, Object> all() {
    Map<ChannelOption<?>, Object> options = new LinkedHashMap<>();
    options.put(ChannelOption.TCP_NODELAY, true);
    options.put(ChannelOption.SO_KEEPALIVE, true);
    options.put(ChannelOption.SO_SNDBUF, SOCKET_BUFFER_BYTES);
    options.put(ChannelOption.SO_RCVBUF, SOCKET_BUFFER_BYTES);
    options.put(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_S);
    options.put(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_S);
    options.put(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES);
    return options;
  }
}
