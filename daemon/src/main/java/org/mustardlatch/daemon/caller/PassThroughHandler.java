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
import org.mustardlatch.daemon.node.ManifestInForce;
import org.mustardlatch.daemon.upstream.ApplicationClient;
import org.mustardlatch.daemon.upstream.ApplicationRequest;
import org.mustardlatch.daemon.upstream.ApplicationResult;
import org.mustardlatch.daemon.upstream.ApplicationResult.Responded;
import org.mustardlatch.daemon.upstream.EndToEndHeaders;

/** Takes calls of pass-through routes to application services. */
final class PassThroughHandler {
  /** Look-ups answer in milliseconds; a slower service is skipped while another may answer. */
  private static final Duration ATTEMPT_LIMIT = Duration.ofSeconds(3);

  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
  private static final int UNAVAILABLE = 503;

  private final Gate gate;
  private final ManifestInForce manifest;
  private final WorkspaceLimits limits;
  private final ApplicationClient applications;
  private final KeyedWork keyed;
  private final RetryAllowance retries = new RetryAllowance();
  private final AtomicInteger turn = new AtomicInteger();

  PassThroughHandler(
      Gate gate,
      ManifestInForce manifest,
      WorkspaceLimits limits,
      ApplicationClient applications,
      KeyedWork keyed) {
    this.gate = gate;
    this.manifest = manifest;
    this.limits = limits;
    this.applications = applications;
    this.keyed = keyed;
  }

  void handle(Context ctx, String requestId) throws IOException, InterruptedException {
    gate.check();
    Manifest inForce = manifest.orThrow();
    Workspace workspace = Authenticator.authenticate(inForce, ctx.header("Authorization"));
    Route route = RouteTable.find(inForce, ctx.method().name(), ctx.path());
    try (WorkspaceLimits.Place place = limits.enter(workspace)) {
      ApplicationRequest request = request(ctx, requestId, workspace);
      List<UpstreamId> upstreams = inTurn(inForce, route);
      Responded answer =
          route.idempotent()
              ? repeatable(upstreams, request, inForce.limits().retryBudgetFraction())
              : keyed.run(ctx, workspace, route, upstreams.get(0), request);
      write(ctx, answer);
    }
  }

  private Responded repeatable(
      List<UpstreamId> upstreams, ApplicationRequest request, double retryFraction) {
    retries.firstAttempt(retryFraction);
    String reason = "";
    for (int i = 0; i < upstreams.size(); i++) {
      if (i > 0 && !retries.take()) {
        break;
      }
      ApplicationResult result = applications.send(upstreams.get(i), request, ATTEMPT_LIMIT);
      switch (result) {
        case Responded a -> {
          if (a.status() != UNAVAILABLE || i == upstreams.size() - 1) {
            return a;
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

  /** Returns the upstreams that take new work, each call starting with another one. */
  private List<UpstreamId> inTurn(Manifest inForce, Route route) {
    List<UpstreamId> open =
        route.upstreams().stream()
            .filter(id -> inForce.upstream(id).map(u -> !u.leaving()).orElse(false))
            .toList();
    if (open.isEmpty()) {
      throw new MustardlatchException(
          ErrorCode.UPSTREAM_UNAVAILABLE, "not run: all upstreams of the route are leaving");
    }
    int first = Math.floorMod(turn.getAndIncrement(), open.size());
    return IntStream.range(0, open.size())
        .mapToObj(i -> open.get((first + i) % open.size()))
        .toList();
  }

  private static ApplicationRequest request(Context ctx, String requestId, Workspace workspace)
      throws IOException {
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

  private static void write(Context ctx, Responded answer) {
    ctx.status(answer.status());
    answer.headers().forEach((name, values) -> values.forEach(v -> ctx.res().addHeader(name, v)));
    ctx.result(answer.body().toByteArray());
  }
}
