package org.mustardlatch.daemon.upstream;

import java.util.List;
import java.util.Map;
import okio.ByteString;

/** The outcome of a call to an application service. */
public sealed interface ApplicationResult {
  /**
   * The service returned a complete response.
   *
   * @param status HTTP status
   * @param headers end-to-end response headers, values by name
   * @param body response body
   */
  record Responded(int status, Map<String, List<String>> headers, ByteString body)
      implements ApplicationResult {}

  /** No byte of the request was sent, so the service did not run it. */
  record NotSent(String reason) implements ApplicationResult {}

  /**
   * The request may have been sent, but no complete response arrived; the service may have run it.
   */
  record Unknown(String reason) implements ApplicationResult {}
}
