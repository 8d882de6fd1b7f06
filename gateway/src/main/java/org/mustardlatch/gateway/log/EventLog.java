package org.mustardlatch.gateway.log;

import java.util.Arrays;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/** Writes numbered events to the log, one line each. */
public final class EventLog {
  private static final int MAX_TEXT_LENGTH = 500;
  private static final int MAX_STACK_FRAMES = 4;

  private EventLog() {}

  /**
   * Writes one event.
   *
   * @param event the event to log
   * @param arguments values for the placeholders of the event's pattern, in order; control
   *     characters of texts are escaped, long texts cut, and exceptions named with their place
   */
  public static void log(LogEvent event, Object... arguments) {
    String message = "ML-" + event.number() + " " + event.pattern();
    @Nullable Object[] printable = new Object[arguments.length];
    for (int i = 0; i < arguments.length; i++) {
      printable[i] = printable(arguments[i]);
    }
    switch (event.level()) {
      case INFO -> Logger.info(message, printable);
      case WARN -> Logger.warn(message, printable);
      case ERROR -> Logger.error(message, printable);
    }
  }

  // Runs for each logged value, mostly interpreted: no streams and no pattern switch on this path.
  static @Nullable Object printable(@Nullable Object argument) {
    if (argument instanceof String s) {
      return singleLine(s);
    }
    return argument instanceof Throwable t ? withPlace(t) : argument;
  }

  private static String withPlace(Throwable t) {
    return Arrays.stream(t.getStackTrace())
        .limit(MAX_STACK_FRAMES)
        .map(StackTraceElement::toString)
        .collect(Collectors.joining(" < ", singleLine(t.toString()) + " at ", ""));
  }

  private static String singleLine(String text) {
    int length = Math.min(text.length(), MAX_TEXT_LENGTH);
    for (int i = 0; i < length; i++) {
      if (Character.isISOControl(text.charAt(i))) {
        return escape(text);
      }
    }
    return length == text.length() ? text : cut(text);
  }

  private static String escape(String text) {
    StringBuilder result = new StringBuilder();
    for (char c : cut(text).toCharArray()) {
      if (Character.isISOControl(c)) {
        result.append("\\u%04x".formatted((int) c));
      } else {
        result.append(c);
      }
    }
    return result.toString();
  }

  private static String cut(String text) {
    return text.length() <= MAX_TEXT_LENGTH ? text : text.substring(0, MAX_TEXT_LENGTH) + "...";
  }
}
