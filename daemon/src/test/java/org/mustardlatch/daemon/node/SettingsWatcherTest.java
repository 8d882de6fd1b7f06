package org.mustardlatch.daemon.node;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.mustardlatch.core.time.VirtualTimerService;

/**
 * Guards against a node that goes on with settings that have been replaced, or with half of them.
 */
class SettingsWatcherTest {
  private static final Duration LONG_TIME =
      SettingsWatcher.CHECK_PERIOD.plus(SettingsWatcher.SETTLING_TIME);

  @TempDir Path directory;
  private final VirtualTimerService timers = new VirtualTimerService();
  private final List<String> received = new ArrayList<>();
  private Path file;
  private SettingsWatcher watcher;

  @BeforeEach
  void start() throws IOException {
    file = directory.resolve("node.conf");
    Files.writeString(file, "a=1");
    watcher = new SettingsWatcher(file, "a=1", timers, received::add);
    watcher.start();
  }

  @Test
  void changeIsPassedOnAtOnceAfterASignal() throws IOException {
    Files.writeString(file, "a=2");
    watcher.reload();
    timers.advance(Duration.ZERO);

    assertThat(received).containsExactly("a=2");
    timers.advance(LONG_TIME.multipliedBy(3));
    assertThat(received).containsExactly("a=2");
  }

  @Test
  void changeIsPassedOnWithoutASignal() throws IOException {
    timers.advance(LONG_TIME);
    Files.writeString(file, "a=12");
    timers.advance(LONG_TIME);

    assertThat(received).containsExactly("a=12");
  }

  @Test
  void changeBetweenTheStartAndTheFirstLookIsPassedOn() throws IOException {
    timers.advance(Duration.ZERO);
    Files.writeString(file, "a=2");
    timers.advance(LONG_TIME);

    assertThat(received).containsExactly("a=2");
  }

  @Test
  void fileThatIsStillBeingWrittenIsPassedOnWhenItIsComplete() throws IOException {
    timers.advance(LONG_TIME);
    timers.schedule(SettingsWatcher.CHECK_PERIOD.minusMillis(250), () -> write(""));
    timers.schedule(SettingsWatcher.CHECK_PERIOD.minusMillis(150), () -> write("a=12\nb"));
    timers.schedule(SettingsWatcher.CHECK_PERIOD.plusMillis(100), () -> write("a=12\nb=3\n"));
    timers.advance(LONG_TIME.multipliedBy(3));

    assertThat(received).containsExactly("a=12\nb=3\n");
  }

  private void write(String text) {
    try {
      Files.writeString(file, text);
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  @Test
  void missingFileChangesNothing() throws IOException {
    Files.delete(file);
    watcher.reload();
    timers.advance(LONG_TIME);
    assertThat(received).isEmpty();
    Files.writeString(file, "a=2");
    timers.advance(LONG_TIME);

    assertThat(received).containsExactly("a=2");
  }

  // Its listener is not ready before the start.
  @Test
  void changeBeforeTheStartIsPassedOnAtTheStart() throws IOException {
    watcher.stop();
    watcher = new SettingsWatcher(file, "a=1", timers, received::add);
    Files.writeString(file, "a=2");
    watcher.reload();
    timers.advance(LONG_TIME);
    assertThat(received).isEmpty();
    watcher.start();
    timers.advance(Duration.ZERO);

    assertThat(received).containsExactly("a=2");
  }

  @Test
  void nothingIsPassedOnAfterAStop() throws IOException {
    timers.advance(LONG_TIME);
    watcher.stop();
    Files.writeString(file, "a=2");
    timers.advance(LONG_TIME);

    assertThat(received).isEmpty();
  }
}
