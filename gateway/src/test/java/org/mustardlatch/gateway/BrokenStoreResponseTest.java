package org.mustardlatch.gateway;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.ISO_8859_1;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mustardlatch.gateway.http.NettyTimerService;
import org.mustardlatch.gateway.http.UpstreamPool;
import org.mustardlatch.gateway.store.HttpStoreReader;
import org.mustardlatch.gateway.store.StoreCodec;
import org.mustardlatch.gateway.store.StoreResponse;

/**
 * Guards against a broken response of the store that is taken for a list, or whose first word of a
 * line that is no header field says that the store was restored.
 */
class BrokenStoreResponseTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private ScriptedUpstream store;
  private EventLoop loop;
  private HttpStoreReader<String> reader;

  @BeforeEach
  void start() throws Exception {
    store = new ScriptedUpstream();
    loop = group.next();
    var timers = new NettyTimerService(loop);
    var pool = new UpstreamPool(loop, timers, store.address(), TIMEOUT, TIMEOUT, head -> {});
    reader = new HttpStoreReader<>(timers, pool, new BodyLengthCodec());
  }

  @AfterEach
  void stop() throws Exception {
    store.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private StoreResponse<String> list(String response) throws Exception {
    store.onNextRequest(
        (socket, out, request) -> {
          out.write(response.getBytes(ISO_8859_1));
          socket.shutdownOutput();
        });
    var result = new CompletableFuture<StoreResponse<String>>();
    loop.execute(() -> reader.list(null, result::complete));
    return result.get(5, TimeUnit.SECONDS);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 000 Odd\r\n",
        "HTTP/1.1 0200 OK\r\n",
        "HTTP/1.1 200 OK\r\nRestores x: 7\r\n",
        "HTTP/1.1 200 OK\r\n Restores: 7\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length x: 1\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n"
      })
  void brokenResponseIsNoList(String head) throws Exception {
    assertThat(list("HTTP/1.1 200 OK\r\nRestores: 6\r\n\r\nobject"))
        .isInstanceOf(StoreResponse.Page.class);

    assertThat(list(head + "\r\nobject")).isInstanceOf(StoreResponse.Unavailable.class);
  }

  @Test
  void restoreIsNoticedAfterABrokenResponse() throws Exception {
    var unused = list("HTTP/1.1 200 OK\r\nRestores: 6\r\n\r\nobject");
    unused = list("HTTP/1.1 000 Odd\r\nRestores: 7\r\n\r\nobject");

    assertThat(list("HTTP/1.1 200 OK\r\nRestores: 7\r\n\r\nobject"))
        .isInstanceOf(StoreResponse.Restored.class);
  }

  /** Takes any response for a page, whose revision is the length of the body. */
  private static final class BodyLengthCodec implements StoreCodec<String> {
    @Override
    public HttpRequest listRequest(@Nullable String after) {
      return new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/list");
    }

    @Override
    public HttpRequest watchRequest(long revision, Duration wait) {
      return listRequest(null);
    }

    @Override
    public @Nullable Long readRestoreCount(HttpHeaders headers) {
      String count = headers.get("Restores");
      return count == null ? null : Long.valueOf(count);
    }

    @Override
    public ResponseDecoder<String> listDecoder(int status) {
      return new ResponseDecoder<>() {
        private long length;

        @Override
        public void append(byte[] part) {
          length += part.length;
        }

        @Override
        public StoreResponse<String> finish() {
          return new StoreResponse.Page<>(List.of(), List.of(), null, length);
        }
      };
    }

    @Override
    public ResponseDecoder<String> watchDecoder(int status) {
      return listDecoder(status);
    }
  }
}
