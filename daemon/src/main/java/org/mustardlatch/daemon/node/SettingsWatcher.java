package org.mustardlatch.daemon.node;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.time.Duration;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.core.time.TimerSubscription;

/**
 * Reads a settings file again when it changes. Without a {@link #reload}, a change is noticed
 * within {@link #CHECK_PERIOD} and passed on once the file has stopped changing.
 */
public final class SettingsWatcher {
  /** Time between two looks at the file. */
  static final Duration CHECK_PERIOD = Duration.ofSeconds(2);

  // A file that is being written may be incomplete.
  static final Duration SETTLING_TIME = Duration.ofMillis(200);

  /** What tells that a file has changed without reading it. */
  private record Stamp(FileTime modified, long bytes) {}

  private final Path file;
  private final TimerService timers;
  private final Consumer<String> listener;
  private volatile boolean running;
  private String text;
  private @Nullable Stamp stamp;
  private TimerSubscription subscription = () -> {};

  /**
   * Creates a watcher that does nothing before {@link #start}.
   *
   * @param text content of the file that is in use
   * @param timers its thread reads the file and calls the listener
   * @param listener receives the new content of the file after each change
   */
  public SettingsWatcher(Path file, String text, TimerService timers, Consumer<String> listener) {
    this.file = file;
    this.text = text;
    this.timers = timers;
    this.listener = listener;
  }

  /** Reads the file, which may have changed since it was read first, and starts to look at it. */
  public void start() {
    running = true;
    reload();
    subscription = timers.scheduleRepeating(CHECK_PERIOD, this::check);
  }

  /** Stops looking at the file. */
  public void stop() {
    running = false;
    subscription.cancel();
  }

  /**
   * Reads the file at once, as it is known to have changed; before {@link #start}, that reads it.
   * May be called on any thread.
   */
  public void reload() {
    if (running) {
      timers.schedule(Duration.ZERO, () -> apply(read()));
    }
  }

  private void check() {
    Stamp found = readStamp();
    if (found != null && !found.equals(stamp)) {
      stamp = found;
      String changed = read();
      timers.schedule(SETTLING_TIME, () -> applyIfSettled(changed));
    }
  }

  private void applyIfSettled(@Nullable String before) {
    String now = read();
    if (now != null && now.equals(before)) {
      apply(now);
    } else {
      stamp = null;
    }
  }

  private void apply(@Nullable String next) {
    if (running && next != null && !next.equals(text)) {
      text = next;
      listener.accept(next);
    }
  }

  /** Returns null while the file is missing, for example while it is being replaced. */
  private @Nullable Stamp readStamp() {
    try {
      var attributes = Files.readAttributes(file, BasicFileAttributes.class);
      return new Stamp(attributes.lastModifiedTime(), attributes.size());
    } catch (IOException e) {
      return null;
    }
  }

  private @Nullable String read() {
    try {
      return Files.readString(file, StandardCharsets.UTF_8);
    } catch (IOException e) {
      return null;
    }
  }
}
