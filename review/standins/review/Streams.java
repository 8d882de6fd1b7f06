package review;

import java.util.Map;

/** The requests for streams of the cases. */
final class Streams {
  private Streams() {}

  /** Returns the headers of a request whose prompt shares its first part with others. */
  static Map<String, String> headers(String id, long timeLimitMillis) {
    return Rig.headers(
        "X-Request-Id",
        id,
        "X-Model",
        "m",
        "X-Token-Count",
        "3000,80",
        "X-Prompt-Prefix",
        "5c1e07a2:200,%08x:2800".formatted(id.hashCode()),
        "X-Deadline-Ms",
        String.valueOf(timeLimitMillis));
  }
}
