package org.mustardlatch.daemon;

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
 * Guards against a stand-in that still accepts connections when its crash has broken the open ones,
 * which nodes take for a live engine.
 */
class EngineStandinCrashTest {
  private static final int ROUNDS = 50;
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
