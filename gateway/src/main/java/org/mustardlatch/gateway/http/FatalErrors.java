package org.mustardlatch.gateway.http;

import io.netty.channel.EventLoop;
import java.util.function.BooleanSupplier;
import org.mustardlatch.gateway.log.LogEvent;

/**
 * Ends the process at once when it can't serve any more. The platform starts a new one, whereas a
 * process without its event loop or without memory would hold callers' connections and not answer.
 */
public final class FatalErrors {
  /** Exit code of a process that can't serve; the JVM itself uses it for an exhausted heap. */
  public static final int EXIT_CODE = 3;

  private FatalErrors() {}

  /** Ends the process when an event loop terminates unless that is expected. */
  public static void watch(EventLoop loop, String name, BooleanSupplier expected) {
    loop.terminationFuture()
        .addListener(
            f -> {
              if (!expected.getAsBoolean()) {
                endProcess("event loop " + name + " terminated");
              }
            });
  }

  /** Ends the process if an error of the virtual machine was thrown, such as exhausted memory. */
  static void endProcessIfFatal(Throwable cause) {
    if (cause instanceof VirtualMachineError) {
      endProcess(String.valueOf(cause));
    }
  }

  /**
   * Halts without shutdown hooks, which could wait for what is broken. Writes the event itself, as
   * the log is written by another thread, which the end of the process would not wait for.
   */
  private static void endProcess(String reason) {
    try {
      LogEvent event = LogEvent.PROCESS_CANNOT_SERVE;
      String text = event.pattern().replace("{}", reason);
      System.err.println(event.level() + " ML-" + event.number() + " " + text);
      System.err.flush();
    } finally {
      Runtime.getRuntime().halt(EXIT_CODE);
    }
  }
}
