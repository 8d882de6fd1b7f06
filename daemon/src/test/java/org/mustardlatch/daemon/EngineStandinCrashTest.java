package org.mustardlatch.daemon;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.net.SocketException;
import java.net.URI;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.mustardlatch.standin.EngineOptions;
import org.mustardlatch.standin.EngineStandin;

/**
 * Guards against a stand-in that still accepts connections, or serves others, when its crash has
 * broken an open one. Nodes take it for a live engine then.
 */
class EngineStandinCrashTest {
  private static final int ROUNDS = 50;
  private static final String SUCCESS = "HTTP/1.1 200";
  private static final String REQUEST = "GET /metrics.json HTTP/1.1\r\nHost: h\r\n\r\n";

  private final EngineStandin engine = new EngineStandin(EngineOptions.fast("engine", "decode"));

  @AfterEach
  void stop() {
    engine.stop();
  }

  @Test
  void crashedEngineRefusesConnectionsOnceItsOpenOnesBreak() throws Exception {
    for (int i = 0; i < ROUNDS; i++) {
      engine.start();
      URI url = engine.url();
      Thread crash;
      try (Socket open = new Socket(url.getHost(), url.getPort())) {
        open.getOutputStream().write(REQUEST.getBytes(UTF_8));
        open.getInputStream().read();
        crash = Thread.ofVirtual().start(engine::crash);
        awaitEnd(open);
        assertThrows(
            ConnectException.class, () -> new Socket(url.getHost(), url.getPort()).close());
      }
      crash.join();
    }
  }

  @Test
  void crashedEngineServesNoRequestOnceAConnectionBreaks() throws Exception {
    for (int i = 0; i < ROUNDS; i++) {
      engine.start();
      URI url = engine.url();
      Thread crash;
      try (Socket first = new Socket(url.getHost(), url.getPort());
          Socket second = new Socket(url.getHost(), url.getPort())) {
        first.getOutputStream().write(REQUEST.getBytes(UTF_8));
        first.getInputStream().read();
        crash = Thread.ofVirtual().start(engine::crash);
        awaitEnd(first);
        assertThat(succeeds(second)).isFalse();
      }
      crash.join();
    }
  }

  private static boolean succeeds(Socket socket) {
    try {
      socket.getOutputStream().write(REQUEST.getBytes(UTF_8));
      byte[] start = socket.getInputStream().readNBytes(SUCCESS.length());
      return new String(start, UTF_8).equals(SUCCESS);
    } catch (IOException e) {
      return false;
    }
  }

  private static void awaitEnd(Socket socket) throws IOException {
    try {
      while (socket.getInputStream().read() >= 0) {
        // The rest of the response.
      }
    } catch (SocketException e) {
      // The connection was reset.
    }
  }
}
