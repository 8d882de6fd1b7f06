package org.mustardlatch.daemon.upstream;

import java.util.List;
import java.util.Map;
import okio.ByteString;

/** How a call of an application service ended. */
public sealed interface ApplicationResult {
  /**
   * The service answered.
   *
   * @param status HTTP status
   * @param headers its end-to-end headers
   * @param body its body
   */
  record Responded(int status, Map<String, List<String>> headers, ByteString body)
      implements ApplicationResult {}

  /** Nothing was sent, so nothing ran. */
  record NotSent(String reason) implements ApplicationResult {}

  /** It was sent, but no whole answer came; it may have run. */
  record Unknown(String reason) implements ApplicationResult {}
}
