package org.mustardlatch.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.gateway.http.CallerExchange;

/** Sends the error responses that this node generates itself: a JSON body with code and message. */
final class ErrorResponse {
  private static final int UNAUTHENTICATED = 401;

  private ErrorResponse() {}

  /**
   * Ends an exchange with an error response.
   *
   * @param status HTTP status; differs from the usual status of the code where that one would claim
   *     that the request was not executed
   * @param retryAfter time after which the caller may retry; zero for no Retry-After header
   */
  static void send(
      CallerExchange caller, int status, ErrorCode code, String message, Duration retryAfter) {
    HttpHeaders headers = new DefaultHttpHeaders(false);
    headers.set("Content-Type", "application/json");
    if (!retryAfter.isZero()) {
      headers.set(
          "Retry-After", String.format(Locale.ROOT, "%.3f", retryAfter.toMillis() / 1000.0));
    }
    if (status == UNAUTHENTICATED) {
      headers.set("WWW-Authenticate", "Bearer");
    }
    String json =
        "{\"error\":{\"code\":\""
            + code.wireName()
            + "\",\"message\":\""
            + message.replace('"', '\'')
            + "\"}}";
    caller.sendResponse(
        HttpResponseStatus.valueOf(status), headers, json.getBytes(StandardCharsets.UTF_8));
  }
}
