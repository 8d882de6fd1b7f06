package org.mustardlatch.daemon.caller;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.http.Context;
import java.time.Duration;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.error.MustardlatchException;

/** Writes errors in the JSON format that OpenAI clients expect. */
public final class ErrorResponseWriter {
  /** Lowest HTTP status of errors that are reported as {@code server_error}. */
  private static final int SERVER_ERROR = 500;

  private ErrorResponseWriter() {}

  /**
   * Writes an error as the whole response. Adds the {@code Retry-After} header if the error
   * suggests a time for a retry.
   */
  public static void write(Context ctx, MustardlatchException error) {
    if (error instanceof RefusedException refused && !refused.retryAfter().isZero()) {
      ctx.header("Retry-After", Long.toString(roundUpToSeconds(refused.retryAfter())));
    }
    ctx.status(error.code().httpStatus())
        .contentType("application/json")
        .result(toJson(error.code(), String.valueOf(error.getMessage())));
  }

  /** Returns the JSON body of an error. */
  public static String toJson(ErrorCode code, String message) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.putObject("error")
        .put("message", message)
        .put("type", code.httpStatus() < SERVER_ERROR ? "invalid_request_error" : "server_error")
        .put("code", code.wireName());
    return body.toString();
  }

  /** Rounds up to whole seconds, at least 1, so that no caller retries too early. */
  private static long roundUpToSeconds(Duration duration) {
    return Math.max(1, duration.plusMillis(999).toSeconds());
  }
}
