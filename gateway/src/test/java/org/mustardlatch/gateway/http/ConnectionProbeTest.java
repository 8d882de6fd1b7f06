package org.mustardlatch.gateway.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a process that has just ended and is taken for one that does not respond, so that
 * its crash is not counted and the request that caused it ends another process.
 */
class ConnectionProbeTest {
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private ConnectionProbe.Result probe(InetSocketAddress address) throws Exception {
    EventLoop loop = group.next();
    CompletableFuture<ConnectionProbe.Result> result = new CompletableFuture<>();
    loop.execute(
        () -> ConnectionProbe.start(loop, address, Duration.ofSeconds(2), result::complete));
    return result.get(10, TimeUnit.SECONDS);
  }

  @Test
  void resetWhileConnectingIsFollowedByAnotherConnection() {
    assertThat(ConnectionProbe.isReset(new SocketException("Connection reset by peer"))).isTrue();
    assertThat(ConnectionProbe.isRefused(new SocketException("Connection reset by peer")))
        .isFalse();
  }

  @Test
  void onlyARefusedConnectionTellsThatNoProcessListens() {
    assertThat(ConnectionProbe.isRefused(new ConnectException("refused"))).isTrue();
    assertThat(ConnectionProbe.isRefused(new ConnectTimeoutException("no response"))).isFalse();
    for (IOException other :
        new IOException[] {
          new ConnectException("refused"),
          new ConnectTimeoutException("no response"),
          new NoRouteToHostException("no route"),
          new BindException("no local port"),
          new IOException("other")
        }) {
      assertThat(ConnectionProbe.isReset(other)).isFalse();
    }
  }

  @Test
  void addressWithoutAProcessRefuses() throws Exception {
    InetSocketAddress address;
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      address = (InetSocketAddress) server.getLocalSocketAddress();
    }
    assertThat(probe(address)).isEqualTo(ConnectionProbe.Result.REFUSED);
  }

  @Test
  void processThatResetsEveryConnectionIsAlive() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      Thread.ofVirtual()
          .start(
              () -> {
                while (!server.isClosed()) {
                  try (Socket s = server.accept()) {
                    s.setSoLinger(true, 0);
                  } catch (IOException e) {
                    return;
                  }
                }
              });
      assertThat(probe((InetSocketAddress) server.getLocalSocketAddress()))
          .isEqualTo(ConnectionProbe.Result.ACCEPTED);
    }
  }
}
