package org.mustardlatch.gateway;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.quarantine.CrashEvidence;
import org.mustardlatch.gateway.config.GatewayRoute;
import org.mustardlatch.gateway.config.GatewayService;
import org.mustardlatch.gateway.http.BufferedResponse;
import org.mustardlatch.gateway.http.CallRequest;
import org.mustardlatch.gateway.http.CallerExchange;
import org.mustardlatch.gateway.http.HopByHopHeaders;
import org.mustardlatch.gateway.http.RequestBody;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;

/**
 * A caller's request that matched a route. Builds the upstream requests, sends the response or
 * error to the caller and records the outcome in the log and the metrics.
 */
final class RoutedExchange {
  // Callers of one route differ in the timeout of their first attempt. Only a timeout below this
  // fraction of the longest one indicates that the caller retries after a refusal.
  private static final double MIN_FIRST_ATTEMPT_TIMEOUT_FRACTION = 0.85;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final Duration QUARANTINE_RETRY_AFTER =
      Duration.ofNanos(CrashEvidence.LIFETIME_NANOS);
  static final int CONTENT_ID_DIGITS = 16;

  private final String localId;
  private final CallerExchange caller;
  private final RequestMetadata metadata;
  private final GatewayRoute route;
  private final GatewayService service;
  private final @Nullable CallerIdentity identity;
  private final OptionalInt rank;
  private final PlatformProtocol protocol;
  private final GatewayMetrics metrics;
  private final long deadlineNanos;
  private final long earlierWaitNanos;
  private int possibleExecutions;
  private @Nullable Runnable refund;
  private @Nullable Fingerprint fingerprint;

  RoutedExchange(
      String localId,
      CallerExchange caller,
      RequestMetadata metadata,
      GatewayRoute route,
      GatewayService service,
      @Nullable CallerIdentity identity,
      OptionalInt rank,
      PlatformProtocol protocol,
      Duration firstAttemptTimeout,
      GatewayMetrics metrics) {
    this.localId = localId;
    this.caller = caller;
    this.metadata = metadata;
    this.route = route;
    this.service = service;
    this.identity = identity;
    this.rank = rank;
    this.metrics = metrics;
    this.protocol = protocol;
    long timeoutMillis = route.timeout().toMillis();
    Long statedMillis = metadata.timeoutMillis();
    if (statedMillis != null) {
      timeoutMillis = Math.min(timeoutMillis, Math.max(1, statedMillis));
    }
    this.earlierWaitNanos =
        statedMillis == null
            ? 0
            : Math.max(
                0,
                (long) (firstAttemptTimeout.toNanos() * MIN_FIRST_ATTEMPT_TIMEOUT_FRACTION)
                    - TimeUnit.MILLISECONDS.toNanos(statedMillis));
    this.deadlineNanos = caller.receivedNanos() + Duration.ofMillis(timeoutMillis).toNanos();
  }

  /** Returns this node's id of the request; unique on the node, unlike the ids of callers. */
  String localId() {
    return localId;
  }

  CallerExchange caller() {
    return caller;
  }

  RequestMetadata metadata() {
    return metadata;
  }

  GatewayRoute route() {
    return route;
  }

  GatewayService service() {
    return service;
  }

  /**
   * Returns the identity of the caller for upstreams; null if the configuration has no workspaces.
   */
  @Nullable CallerIdentity identity() {
    return identity;
  }

  /** Returns the urgency of a generation; empty if all are equal. */
  OptionalInt rank() {
    return rank;
  }

  /**
   * Returns the estimated time that the caller spent in earlier attempts that were refused,
   * nanoseconds.
   */
  long earlierWaitNanos() {
    return earlierWaitNanos;
  }

  /** Returns the monotonic time after which the caller no longer waits, nanoseconds. */
  long deadlineNanos() {
    return deadlineNanos;
  }

  /** Returns the caller's id of the request, or "-" if it sent none. */
  String callerRequestId() {
    String id = metadata.requestId();
    return id == null ? "-" : id;
  }

  /**
   * Returns the digest of the method, the host, the target and the body, which determine what an
   * upstream executes. Of a body that passes through it covers the beginning and the length.
   */
  Fingerprint fingerprint() {
    Fingerprint known = fingerprint;
    if (known == null) {
      HttpRequest head = caller.head();
      Hasher h = Hashing.sha256().newHasher();
      h.putString(head.method().name() + " ", StandardCharsets.UTF_8);
      h.putString(head.headers().get(HttpHeaderNames.HOST, "") + " ", StandardCharsets.UTF_8);
      h.putString(head.uri() + "\n", StandardCharsets.UTF_8);
      RequestBody body = caller.body();
      h.putBytes(body.identifyingBytes());
      if (body.passesThrough()) {
        h.putLong(body.statedLength());
      }
      known = new Fingerprint(h.hash().toString());
      fingerprint = known;
    }
    return known;
  }

  /** Returns digests of the parts of the prompt that other requests may share. */
  List<Fingerprint> sharedPromptParts() {
    return FleetManifest.sharedParts(service.name(), metadata.promptParts());
  }

  /** Returns the start of the fingerprint, which identifies the content in the log. */
  String contentId() {
    return fingerprint().value().substring(0, CONTENT_ID_DIGITS);
  }

  /** Sets the task that runs if the request ends without having reached an upstream. */
  void onNotSent(Runnable task) {
    refund = task;
  }

  /** Records that a part of the request that an upstream cannot complete alone was sent to it. */
  void recordPartSent() {
    refund = null;
  }

  /** Records that the request was sent to an upstream, which may execute it from now on. */
  void recordSent() {
    recordPartSent();
    possibleExecutions++;
  }

  /** Records that an upstream stated that it did not execute the request sent to it. */
  void recordNotExecuted() {
    possibleExecutions--;
  }

  /** Returns the request to send to an upstream. */
  CallRequest toUpstreamRequest(UpstreamCallPlan plan) {
    HttpRequest original = caller.head();
    HttpHeaders headers = new DefaultHttpHeaders(false);
    headers.add(original.headers());
    HopByHopHeaders.strip(headers);
    protocol.rewriteHeaders(headers, plan);
    var head =
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, original.method(), original.uri(), headers);
    boolean repeatable = route.repeatable() || plan.work() instanceof UpstreamCallPlan.Work.Prefill;
    String id = metadata.requestId();
    return id == null
        ? new CallRequest(head, caller.body(), repeatable)
        : new CallRequest(id, head, caller.body(), repeatable, this::isResponseToThisRequest);
  }

  /** Upstreams repeat the id in every response, so one without an id belongs to no request. */
  private boolean isResponseToThisRequest(HttpResponse response) {
    String id = protocol.readResponse(response).requestId();
    return id != null && id.equals(metadata.requestId());
  }

  /**
   * Sends an upstream's complete response to the caller.
   *
   * @param detail for the log: the id of the upstream, or "last_server_error" for the error
   *     response of an earlier attempt
   */
  void sendResponse(BufferedResponse response, String detail) {
    sendResponse(response, detail, () -> {});
  }

  /**
   * Like the method above.
   *
   * @param departed runs when the response has left this node, or will not be sent
   */
  void sendResponse(BufferedResponse response, String detail, Runnable departed) {
    recordOutcome("delivered", detail, response.status());
    HttpResponse head = response.head();
    caller.sendResponse(head.status(), head.headers(), response.body(), departed);
  }

  /**
   * Sends an error to the caller, or aborts the connection if a response has already begun.
   *
   * @param retryAfter time after which the caller may retry; zero for no Retry-After header
   */
  void fail(ErrorCode code, String reason, Duration retryAfter) {
    if (caller.done()) {
      return;
    }
    if (caller.responseStarted()) {
      recordOutcome("broken_off", reason, 0);
      caller.abort();
      return;
    }
    int status = statusFor(code);
    recordOutcome("failed", reason, status);
    Duration delay = code == ErrorCode.REQUEST_QUARANTINED ? QUARANTINE_RETRY_AFTER : retryAfter;
    boolean mayRetry = status == SERVICE_UNAVAILABLE || code == ErrorCode.RATE_LIMITED;
    Duration retryDelay = mayRetry ? delay : Duration.ZERO;
    ErrorResponse.send(caller, status, code, reason, retryDelay);
  }

  /**
   * Returns the HTTP status of an error. A status that implies that the request was not executed is
   * only used if every upstream that got the request stated so. If so, any error of the 5xx class
   * gets the status of {@link ErrorCode#UPSTREAM_UNAVAILABLE}.
   */
  private int statusFor(ErrorCode code) {
    // A status of the 4xx class would say that the request itself is not valid.
    int status = code == ErrorCode.REQUEST_QUARANTINED ? SERVICE_UNAVAILABLE : code.httpStatus();
    boolean impliesNotExecuted =
        status == SERVICE_UNAVAILABLE || status == 429 || status == 408 || status == 421;
    if (impliesNotExecuted && possibleExecutions > 0) {
      return ErrorCode.UPSTREAM_FAILED.httpStatus();
    }
    if (status >= 500 && possibleExecutions == 0) {
      return ErrorCode.UPSTREAM_UNAVAILABLE.httpStatus();
    }
    return status;
  }

  /**
   * Records that the first byte of the response is sent to the caller.
   *
   * @param now monotonic time, nanoseconds
   */
  void recordFirstByte(long now) {
    metrics.recordFirstByte(route.kind(), now - caller.receivedNanos());
  }

  /** Logs and counts the outcome of the request. */
  void recordOutcome(String outcome, @Nullable String detail, int status) {
    Runnable task = refund;
    refund = null;
    if (task != null) {
      task.run();
    }
    metrics.countRequest(route.kind(), outcome, status);
    EventLog.log(
        LogEvent.REQUEST_ENDED,
        callerRequestId(),
        localId,
        route.name(),
        outcome,
        status,
        String.valueOf(detail));
  }
}
