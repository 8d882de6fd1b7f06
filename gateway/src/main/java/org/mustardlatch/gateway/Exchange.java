package org.mustardlatch.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.gateway.config.GatewayRoute;
import org.mustardlatch.gateway.config.GatewayService;
import org.mustardlatch.gateway.http.CallRequest;
import org.mustardlatch.gateway.http.CallerExchange;
import org.mustardlatch.gateway.http.HopByHop;
import org.mustardlatch.gateway.http.UpstreamAnswer;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;

/** A caller's request that has a route, and how it ends. */
final class Exchange {
  // Callers of a route differ in how long they wait; only a shorter time shows a second attempt.
  private static final double LEAST_PATIENCE = 0.85;
  private static final int SERVICE_UNAVAILABLE = 503;

  private final String name;
  private final CallerExchange caller;
  private final CallerRequest request;
  private final GatewayRoute route;
  private final GatewayService service;
  private final UpstreamProtocol protocol;
  private final GatewayMetrics metrics;
  private final long endNanos;
  private final long waitedNanos;
  private int possibleRuns;

  Exchange(
      String name,
      CallerExchange caller,
      CallerRequest request,
      GatewayRoute route,
      GatewayService service,
      UpstreamProtocol protocol,
      Duration usualPatience,
      GatewayMetrics metrics) {
    this.name = name;
    this.caller = caller;
    this.request = request;
    this.route = route;
    this.service = service;
    this.metrics = metrics;
    this.protocol = protocol;
    long wait = route.timeout().toMillis();
    Long stated = request.deadlineMillis();
    if (stated != null) {
      wait = Math.min(wait, Math.max(1, stated));
    }
    this.waitedNanos =
        stated == null
            ? 0
            : Math.max(0, (long) (usualPatience.toNanos() * LEAST_PATIENCE) - stated * 1_000_000);
    this.endNanos = caller.receivedNanos() + Duration.ofMillis(wait).toNanos();
  }

  /** Returns the node's own name of the request; unique, unlike what callers send. */
  String name() {
    return name;
  }

  CallerExchange caller() {
    return caller;
  }

  CallerRequest request() {
    return request;
  }

  GatewayRoute route() {
    return route;
  }

  GatewayService service() {
    return service;
  }

  /** Returns how long the caller had waited before, in attempts that were refused. */
  long waitedNanos() {
    return waitedNanos;
  }

  /** Returns the monotonic time at which the answer is of no use any more. */
  long endNanos() {
    return endNanos;
  }

  String callerId() {
    String id = request.id();
    return id == null ? "-" : id;
  }

  /** Takes note that an upstream may begin to run the request. */
  void sent() {
    possibleRuns++;
  }

  /** Takes note that an upstream to which it was sent states that it did not run it. */
  void notRun() {
    possibleRuns--;
  }

  /** Returns the request as it goes to an upstream. */
  CallRequest call(UpstreamCallPlan plan) {
    HttpRequest from = caller.head();
    HttpHeaders headers = new DefaultHttpHeaders(false);
    headers.add(from.headers());
    HopByHop.strip(headers);
    protocol.prepare(headers, plan);
    var head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, from.method(), from.uri(), headers);
    boolean repeatable = route.repeatable() || plan.work() instanceof UpstreamCallPlan.Work.Prefill;
    return new CallRequest(head, caller.body(), repeatable, this::isOwn);
  }

  private boolean isOwn(HttpResponse response) {
    String id = protocol.read(response).requestId();
    return id == null || id.equals(request.id());
  }

  /** Gives the caller an upstream's whole answer. */
  void deliver(UpstreamAnswer answer, String upstream) {
    log("delivered", upstream, answer.status());
    caller.answer(answer.head().status(), answer.head().headers(), answer.body());
  }

  /**
   * Gives the caller a failure, or breaks off an answer that has begun.
   *
   * @param retryAfter when to come back; zero when there is no use in it
   */
  void fail(ErrorCode code, String reason, Duration retryAfter) {
    if (caller.done()) {
      return;
    }
    if (caller.started()) {
      log("broken_off", reason, 0);
      caller.abort();
      return;
    }
    int status = truthful(code);
    log("failed", reason, status);
    Duration pause = status == SERVICE_UNAVAILABLE ? retryAfter : Duration.ZERO;
    ErrorAnswer.send(caller, status, code, reason, pause);
  }

  /** A status that promises that the request has not run is only used where that is known. */
  private int truthful(ErrorCode code) {
    int status = code.httpStatus();
    boolean promise =
        status == SERVICE_UNAVAILABLE || status == 429 || status == 408 || status == 421;
    if (promise && possibleRuns > 0) {
      return ErrorCode.UPSTREAM_FAILED.httpStatus();
    }
    if (status >= 500 && possibleRuns == 0) {
      return ErrorCode.UPSTREAM_UNAVAILABLE.httpStatus();
    }
    return status;
  }

  /** Takes note that the first byte of the answer leaves. */
  void firstByte(long now) {
    metrics.firstByte(route.kind(), now - caller.receivedNanos());
  }

  void log(String outcome, @Nullable String detail, int status) {
    metrics.ended(route.kind(), outcome, status);
    EventLog.log(
        LogEvent.REQUEST_ENDED,
        callerId(),
        name,
        route.name(),
        outcome,
        status,
        String.valueOf(detail));
  }
}
