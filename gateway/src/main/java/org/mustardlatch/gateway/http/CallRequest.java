package org.mustardlatch.gateway.http;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/** An HTTP request to an upstream with its body. */
public final class CallRequest {
  /** Default maximum length of the response body, bytes; it is held in memory. */
  public static final int DEFAULT_MAX_RESPONSE_BYTES = 1 << 20;

  private final @Nullable String id;
  private final HttpRequest head;
  private final RequestBody body;
  private final boolean repeatable;
  private final Predicate<HttpResponse> responseMatcher;
  private final long maxResponseBytes;

  /**
   * Creates a request without an id. Its connection only carries such requests, and only one if it
   * is not repeatable, since a late copy of its response could pass for the response to another
   * request.
   *
   * @param head method, target and headers; the Content-Length is set when the request is sent
   * @param body the whole body; not copied
   * @param repeatable whether the sender can repeat it after a failure ({@link UpstreamPool} itself
   *     does not); other requests only use kept-alive connections that were idle for a short time,
   *     since the upstream may be closing the others
   */
  public CallRequest(HttpRequest head, byte[] body, boolean repeatable) {
    this(head, RequestBody.of(body), repeatable);
  }

  /** Like the constructor above, for a body that may still arrive. */
  public CallRequest(HttpRequest head, RequestBody body, boolean repeatable) {
    this(null, head, body, repeatable, response -> true, DEFAULT_MAX_RESPONSE_BYTES);
  }

  /**
   * Creates a request with an id that responses to it repeat.
   *
   * @param id the id; a connection never carries two requests with the same one
   * @param head method, target and headers; the Content-Length is set when the request is sent
   * @param body the body, which may still arrive
   * @param repeatable whether the sender can repeat it after a failure
   * @param responseMatcher tests whether a response has the id; others on the connection, also
   *     those without an id, are skipped, and the connection is closed after the call
   */
  public CallRequest(
      String id,
      HttpRequest head,
      RequestBody body,
      boolean repeatable,
      Predicate<HttpResponse> responseMatcher) {
    this(id, head, body, repeatable, responseMatcher, DEFAULT_MAX_RESPONSE_BYTES);
  }

  private CallRequest(
      @Nullable String id,
      HttpRequest head,
      RequestBody body,
      boolean repeatable,
      Predicate<HttpResponse> responseMatcher,
      long maxResponseBytes) {
    this.id = id;
    this.head = head;
    this.body = body;
    this.repeatable = repeatable;
    this.responseMatcher = responseMatcher;
    this.maxResponseBytes = maxResponseBytes;
  }

  /**
   * Returns the same request with another limit for its response.
   *
   * @param bytes maximum length of the response body; the call fails when it is exceeded
   */
  public CallRequest withMaxResponseBytes(long bytes) {
    return new CallRequest(id, head, body, repeatable, responseMatcher, bytes);
  }

  @Nullable String id() {
    return id;
  }

  long maxResponseBytes() {
    return maxResponseBytes;
  }

  HttpRequest head() {
    return head;
  }

  RequestBody body() {
    return body;
  }

  boolean repeatable() {
    return repeatable;
  }

  boolean matches(HttpResponse response) {
    return responseMatcher.test(response);
  }
}
