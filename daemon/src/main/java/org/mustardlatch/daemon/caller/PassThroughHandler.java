package org.mustardlatch.daemon.caller;

import io.javalin.http.Context;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import okio.ByteString;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.error.MustardlatchException;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.manifest.Route;
import org.mustardlatch.core.manifest.Workspace;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.daemon.node.ActiveManifest;
import org.mustardlatch.daemon.upstream.ApplicationClient;
import org.mustardlatch.daemon.upstream.ApplicationRequest;
import org.mustardlatch.daemon.upstream.ApplicationResult;
import org.mustardlatch.daemon.upstream.ApplicationResult.Responded;
import org.mustardlatch.daemon.upstream.EndToEndHeaders;

/**
 * Forwards requests on pass-through routes to application services, the upstreams of the route.
 * Requests on idempotent routes may be retried on another upstream; all others are executed at most
 * once under their idempotency key. Each request blocks a virtual thread of its own until the
 * service has responded.
 */
final class PassThroughHandler {
  /**
   * Timeout of one attempt on an idempotent route. Services respond to lookups within milliseconds;
   * after this time the next upstream is tried instead, as far as there is one and the retry budget
   * allows it.
   */
  private static final Duration ATTEMPT_TIMEOUT = Duration.ofSeconds(3);

  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
  private static final int SERVICE_UNAVAILABLE = 503;

  private final ReadinessCheck readiness;
  private final ActiveManifest manifest;
  private final WorkspaceLimiter limiter;
  private final ApplicationClient applications;
  private final KeyedRequestExecutor keyedRequests;
  private final PassThroughRetryBudget retryBudget = new PassThroughRetryBudget();
  private final AtomicInteger roundRobinCounter = new AtomicInteger();

  PassThroughHandler(
      ReadinessCheck readiness,
      ActiveManifest manifest,
      WorkspaceLimiter limiter,
      ApplicationClient applications,
      KeyedRequestExecutor keyedRequests) {
    this.readiness = readiness;
    this.manifest = manifest;
    this.limiter = limiter;
    this.applications = applications;
    this.keyedRequests = keyedRequests;
  }

  /** Handles one request and copies the response of the service to the response to the caller. */
  void handle(Context ctx, String requestId) throws IOException, InterruptedException {
    readiness.requireAccepting();
    Manifest activeManifest = manifest.currentOrThrow();
    Workspace workspace = Authenticator.authenticate(activeManifest, ctx.header("Authorization"));
    Route route = RouteMatcher.find(activeManifest, ctx.method().name(), ctx.path());
    try (WorkspaceLimiter.Slot slot = limiter.acquire(workspace)) {
      ApplicationRequest request = createRequest(ctx, requestId, workspace);
      List<UpstreamId> upstreams = rotateUpstreams(activeManifest, route);
      Responded response =
          route.idempotent()
              ? sendWithRetries(upstreams, request, activeManifest.limits().retryBudgetFraction())
              : keyedRequests.execute(ctx, workspace, route, upstreams.get(0), request);
      writeResponse(ctx, response);
    }
  }

  /**
   * Sends a request to one upstream after another until one responds with a status other than 503,
   * the retry budget is empty or no upstream is left. A 503 of the last upstream is returned as is.
   */
  private Responded sendWithRetries(
      List<UpstreamId> upstreams, ApplicationRequest request, double retryFraction) {
    retryBudget.deposit(retryFraction);
    String reason = "";
    for (int i = 0; i < upstreams.size(); i++) {
      if (i > 0 && !retryBudget.tryAcquire()) {
        break;
      }
      ApplicationResult result = applications.send(upstreams.get(i), request, ATTEMPT_TIMEOUT);
      switch (result) {
        case Responded r -> {
          if (r.status() != SERVICE_UNAVAILABLE || i == upstreams.size() - 1) {
            return r;
          }
        }
        case ApplicationResult.NotSent n -> reason = n.reason();
        case ApplicationResult.Unknown u -> reason = u.reason();
      }
    }
    throw new RefusedException(
        ErrorCode.UPSTREAM_UNAVAILABLE,
        "no upstream of the route answered: " + reason,
        RETRY_AFTER);
  }

  /**
   * Returns the upstreams that accept new work, in an order that starts with the next one at each
   * call. An upstream that is leaving (draining) accepts none.
   */
  private List<UpstreamId> rotateUpstreams(Manifest activeManifest, Route route) {
    List<UpstreamId> available =
        route.upstreams().stream()
            .filter(id -> activeManifest.upstream(id).map(u -> !u.leaving()).orElse(false))
            .toList();
    if (available.isEmpty()) {
      throw new MustardlatchException(
          ErrorCode.UPSTREAM_UNAVAILABLE, "not run: all upstreams of the route are leaving");
    }
    int first = Math.floorMod(roundRobinCounter.getAndIncrement(), available.size());
    return IntStream.range(0, available.size())
        .mapToObj(i -> available.get((first + i) % available.size()))
        .toList();
  }

  private static ApplicationRequest createRequest(
      Context ctx, String requestId, Workspace workspace) throws IOException {
    Map<String, List<String>> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    ctx.headerMap()
        .forEach(
            (name, value) -> {
              if (EndToEndHeaders.passesToService(name)) {
                headers.put(name, List.of(value));
              }
            });
    headers.put("X-Request-Id", List.of(requestId));
    headers.put("X-Workspace", List.of(workspace.id().value()));
    String query = ctx.queryString();
    String path = ctx.req().getRequestURI() + (query == null ? "" : "?" + query);
    return new ApplicationRequest(
        ctx.method().name(), path, headers, ByteString.of(BodyReader.read(ctx)));
  }

  private static void writeResponse(Context ctx, Responded response) {
    ctx.status(response.status());
    response.headers().forEach((name, values) -> values.forEach(v -> ctx.res().addHeader(name, v)));
    ctx.result(response.body().toByteArray());
  }
}
