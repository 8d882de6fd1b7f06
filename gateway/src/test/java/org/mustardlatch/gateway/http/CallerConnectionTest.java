package org.mustardlatch.gateway.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;
import io.netty.channel.DefaultChannelConfig;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.time.VirtualTimerService;
import org.mustardlatch.gateway.config.CallerLimits;

/** Guards against an exception on a caller's broken connection that affects other callers. */
class CallerConnectionTest {
  /** A channel whose socket is closed, so that setting SO_LINGER fails. */
  private static final class BrokenSocket extends EmbeddedChannel {
    @Override
    public ChannelConfig config() {
      return new DefaultChannelConfig(this) {
        @Override
        public <T> boolean setOption(ChannelOption<T> option, T value) {
          if (ChannelOption.SO_LINGER.equals(option)) {
            throw new ChannelException("socket is closed");
          }
          return super.setOption(option, value);
        }
      };
    }
  }

  @Test
  void abortsAResponseOnABrokenConnection() {
    List<CallerExchange> received = new ArrayList<>();
    CallerHandler handler =
        new CallerHandler() {
          @Override
          public void requestReceived(CallerExchange exchange) {
            received.add(exchange);
          }

          @Override
          public void callerDisconnected(CallerExchange exchange) {}
        };
    EventLoop loop = new DefaultEventLoop();
    var server =
        new CallerServer(
            loop,
            new VirtualTimerService(),
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            handler,
            () -> CallerLimits.DEFAULT,
            new BufferBudget(1 << 20));
    BrokenSocket channel = new BrokenSocket();
    channel.pipeline().addLast(new RequestDecoder(1000), new CallerConnection(server, channel));
    channel.writeInbound(
        Unpooled.copiedBuffer("GET / HTTP/1.1\r\nHost: h\r\n\r\n", StandardCharsets.US_ASCII));

    received.getFirst().abort();

    assertThat(channel.isOpen()).isFalse();
  }
}
