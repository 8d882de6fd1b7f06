package org.mustardlatch.gateway.log;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * tinylog writer that writes to standard output from its own thread. A stalled reader of standard
 * output never blocks the process: lines beyond the capacity are dropped, and their number is
 * logged.
 */
public final class BoundedConsoleWriter implements Writer {
  // Lines; about one second of log output of a node at its highest load.
  private static final int CAPACITY = 4096;
  private static final int MAX_BATCH = 256;

  private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(CAPACITY);
  private final AtomicLong dropped = new AtomicLong();
  private final FileOutputStream out = new FileOutputStream(FileDescriptor.out);
  private final Object writeLock = new Object();

  /**
   * Creates a writer and starts its thread; called by tinylog with the properties of the writer.
   */
  public BoundedConsoleWriter(Map<String, String> properties) {
    Thread.ofPlatform().daemon().name("log").start(this::writeForever);
  }

  @Override
  public Collection<LogEntryValue> getRequiredLogEntryValues() {
    return EnumSet.of(
        LogEntryValue.DATE, LogEntryValue.LEVEL, LogEntryValue.MESSAGE, LogEntryValue.EXCEPTION);
  }

  @Override
  public void write(LogEntry entry) {
    Instant at = entry.getTimestamp() == null ? Instant.now() : entry.getTimestamp().toInstant();
    StringBuilder line = new StringBuilder(160);
    line.append(at).append(' ').append(entry.getLevel()).append(' ').append(entry.getMessage());
    Throwable cause = entry.getException();
    if (cause != null) {
      line.append(" exception=").append(cause);
      for (StackTraceElement e : cause.getStackTrace()) {
        line.append("\n  at ").append(e);
      }
    }
    if (!lines.offer(line.append('\n').toString())) {
      dropped.incrementAndGet();
    }
  }

  private void writeForever() {
    try {
      while (true) {
        writeBatch(lines.take());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void writeBatch(@Nullable String first) {
    StringBuilder batch = new StringBuilder();
    String line = first;
    for (int i = 0; line != null && i < MAX_BATCH; i++) {
      batch.append(line);
      line = lines.poll();
    }
    if (line != null) {
      batch.append(line);
    }
    long droppedLines = dropped.getAndSet(0);
    if (droppedLines > 0) {
      batch.append("log lines dropped=").append(droppedLines).append('\n');
    }
    synchronized (writeLock) {
      try {
        out.write(batch.toString().getBytes(StandardCharsets.UTF_8));
      } catch (IOException e) {
        // Standard output is closed, so the error can't be reported.
        dropped.addAndGet(1);
      }
    }
  }

  @Override
  public void flush() {
    writeBatch(lines.poll());
  }

  @Override
  public void close() {
    flush();
  }
}
