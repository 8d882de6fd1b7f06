package org.mustardlatch.gateway.log;

import org.tinylog.Logger;

/** Writes numbered events to the log. */
public final class EventLog {
  private EventLog() {}

  /**
   * Writes one event.
   *
   * @param event the event to log
   * @param arguments values for the placeholders of the event's pattern, in order
   */
  public static void log(LogEvent event, Object... arguments) {
    String message = "ML-" + event.number() + " " + event.pattern();
    switch (event.level()) {
      case INFO -> Logger.info(message, arguments);
      case WARN -> Logger.warn(message, arguments);
      case ERROR -> Logger.error(message, arguments);
    }
  }
}
