package org.mustardlatch.gateway.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.DefaultEventLoop;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against a repeated task that ends with its first exception. */
class NettyTimerServiceTest {
  @Test
  void repeatedTaskThatThrowsRunsAgain() throws Exception {
    var loop = new DefaultEventLoop();
    var runs = new CountDownLatch(3);
    try {
      new NettyTimerService(loop)
          .scheduleRepeating(
              Duration.ofMillis(1),
              () -> {
                runs.countDown();
                throw new IllegalStateException("test");
              });
      assertThat(runs.await(5, TimeUnit.SECONDS)).isTrue();
    } finally {
      loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }
}
