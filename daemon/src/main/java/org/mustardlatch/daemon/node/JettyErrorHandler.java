package org.mustardlatch.daemon.node;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;
import org.mustardlatch.core.error.ErrorCode;

/**
 * Writes the response for errors that Jetty detects before a request handler runs, in the same JSON
 * form as all other errors.
 */
final class JettyErrorHandler extends ErrorHandler {
  private static final int HEADERS_TOO_LARGE = 431;

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    ErrorCode code =
        response.getStatus() == HEADERS_TOO_LARGE
            ? ErrorCode.HEADERS_TOO_LARGE
            : ErrorCode.INVALID_ARGUMENT;
    String message =
        code == ErrorCode.HEADERS_TOO_LARGE
            ? "request line and headers are longer than 16384 bytes"
            : "not a valid HTTP request";
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
    String body =
        "{\"error\":{\"message\":\"%s\",\"type\":\"invalid_request_error\",\"code\":\"%s\"}}"
            .formatted(message, code.wireName());
    Content.Sink.write(response, true, body, callback);
    return true;
  }
}
