package org.mustardlatch.gateway.http;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.function.Predicate;

/** An HTTP request to an upstream with its whole body. */
public final class CallRequest {
  private final HttpRequest head;
  private final byte[] body;
  private final boolean repeatable;
  private final Predicate<HttpResponse> responseMatcher;

  /**
   * Creates a request.
   *
   * @param head method, target and headers; the Content-Length is set when the request is sent
   * @param body the whole body; not copied
   * @param repeatable whether the sender can repeat it after a failure ({@link UpstreamPool} itself
   *     does not); other requests only use kept-alive connections that were idle for a short time,
   *     since the upstream may be closing the others
   * @param responseMatcher tests whether a response belongs to this request; others on the
   *     connection are skipped
   */
  public CallRequest(
      HttpRequest head, byte[] body, boolean repeatable, Predicate<HttpResponse> responseMatcher) {
    this.head = head;
    this.body = body;
    this.repeatable = repeatable;
    this.responseMatcher = responseMatcher;
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
