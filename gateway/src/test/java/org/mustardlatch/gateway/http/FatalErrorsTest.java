package org.mustardlatch.gateway.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a process that stays up, and looks alive, after its event loop has ended. */
class FatalErrorsTest {
  /** Ends an event loop; the argument says whether that is expected. */
  static final class LoopEndProgram {
    private LoopEndProgram() {}

    public static void main(String[] args) throws InterruptedException {
      var group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
      boolean expected = args[0].equals("expected");
      FatalErrors.watch(group.next(), "data path", () -> expected);
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
      TimeUnit.MILLISECONDS.sleep(2_000);
      System.exit(0);
    }
  }

  @ParameterizedTest
  @CsvSource({"unexpected, 3", "expected, 0"})
  void processEndsWithItsEventLoopUnlessItIsStopping(String end, int exitCode) throws Exception {
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                LoopEndProgram.class.getName(),
                end)
            .redirectErrorStream(true)
            .start();
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);

    assertThat(process.waitFor()).isEqualTo(exitCode);
    assertThat(output.contains("ML-8043")).isEqualTo(exitCode != 0);
    if (exitCode != 0) {
      assertThat(output).contains("event loop data path terminated");
    }
  }
}
