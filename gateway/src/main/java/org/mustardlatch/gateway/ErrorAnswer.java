package org.mustardlatch.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.gateway.http.CallerExchange;

/** Writes the answers that this node makes itself, with a code and a message as JSON. */
final class ErrorAnswer {
  private ErrorAnswer() {}

  /**
   * Ends an exchange with an error.
   *
   * @param status HTTP status, which may promise less than the usual one of the code
   * @param retryAfter time after which the caller may come again; zero to state none
   */
  static void send(
      CallerExchange caller, int status, ErrorCode code, String message, Duration retryAfter) {
    HttpHeaders headers = new DefaultHttpHeaders(false);
    headers.set("Content-Type", "application/json");
    if (!retryAfter.isZero()) {
      headers.set(
          "Retry-After", String.format(Locale.ROOT, "%.3f", retryAfter.toMillis() / 1000.0));
    }
    String text =
        "{\"error\":{\"code\":\""
            + code.wireName()
            + "\",\"message\":\""
            + message.replace('"', '\'')
            + "\"}}";
    caller.answer(
        HttpResponseStatus.valueOf(status), headers, text.getBytes(StandardCharsets.UTF_8));
  }
}
