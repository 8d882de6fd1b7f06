package org.mustardlatch.gateway.http;

import org.jspecify.annotations.Nullable;

/** Properties of responses with server-sent events. */
public final class EventStreams {
  private static final String MEDIA_TYPE = "text/event-stream";

  private EventStreams() {}

  /** Returns whether a value of the Content-Type header, if any, is that of an event stream. */
  public static boolean isEventStream(@Nullable String contentType) {
    return contentType != null
        && contentType.strip().regionMatches(true, 0, MEDIA_TYPE, 0, MEDIA_TYPE.length());
  }

  /**
   * Returns whether the body of an event stream ends with an event, that is with an empty line. The
   * stream was cut off otherwise, however its response is framed.
   */
  public static boolean endsAfterEvent(byte[] body) {
    int lineEnd = startOfLineBreak(body, body.length);
    return lineEnd < body.length && startOfLineBreak(body, lineEnd) < lineEnd;
  }

  /** Returns the start of the line break that ends at an index, or the index if none does. */
  private static int startOfLineBreak(byte[] body, int end) {
    if (end == 0 || body[end - 1] != '\n') {
      return end;
    }
    return end >= 2 && body[end - 2] == '\r' ? end - 2 : end - 1;
  }
}
