package org.mustardlatch.gateway.http;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.function.Predicate;

/** A request to an upstream. */
public final class CallRequest {
  private final HttpRequest head;
  private final byte[] body;
  private final boolean repeatable;
  private final Predicate<HttpResponse> responseMatcher;

  /**
   * Creates a request.
   *
   * @param head method, target and headers; the length of the body is set when it is sent
   * @param body the whole body; not copied
   * @param repeatable whether it may be lost with a kept connection; other requests only use kept
   *     connections that were in use a moment ago
   * @param answers whether a response belongs to this request; others on the connection are skipped
   */
  public CallRequest(
      HttpRequest head, byte[] body, boolean repeatable, Predicate<HttpResponse> answers) {
    this.head = head;
    this.body = body;
    this.repeatable = repeatable;
    this.responseMatcher = answers;
  }

  HttpRequest head() {
    return head;
  }

  byte[] body() {
    return body;
  }

  boolean repeatable() {
    return repeatable;
  }

  boolean matches(HttpResponse response) {
    return responseMatcher.test(response);
  }
}
