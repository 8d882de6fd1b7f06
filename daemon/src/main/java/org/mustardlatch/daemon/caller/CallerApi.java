package org.mustardlatch.daemon.caller;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.config.RoutesConfig;
import io.javalin.http.Context;
import io.javalin.http.HandlerType;
import java.io.IOException;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicInteger;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.error.MustardlatchException;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.settings.SocketAddress;
import org.mustardlatch.daemon.ledger.LedgerService;
import org.mustardlatch.daemon.node.ActiveManifest;
import org.mustardlatch.daemon.node.HttpServer;
import org.mustardlatch.daemon.node.NodeState;
import org.mustardlatch.daemon.operator.RequestMetrics;
import org.mustardlatch.daemon.routing.RoutingService;
import org.mustardlatch.daemon.upstream.ApplicationClient;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;

/**
 * HTTP server for callers: generation requests, the list of models and pass-through routes. Each
 * request runs on a virtual thread of its own.
 */
public final class CallerApi {
  private static final String REQUEST_ID_HEADER = "X-Request-Id";
  private static final List<HandlerType> PASS_THROUGH_METHODS =
      List.of(
          HandlerType.GET,
          HandlerType.HEAD,
          HandlerType.POST,
          HandlerType.PUT,
          HandlerType.PATCH,
          HandlerType.DELETE);

  private final ActiveManifest manifest;
  private final RequestMetrics metrics;
  private final GenerationHandler generationHandler;
  private final PassThroughHandler passThroughHandler;
  private final HttpServer server;
  private final AtomicInteger requestsInProgress = new AtomicInteger();

  /** Creates the server without listening; {@link #start} opens the port. */
  public CallerApi(
      SocketAddress address,
      NodeState state,
      ActiveManifest manifest,
      RoutingService routing,
      LedgerService ledger,
      ApplicationClient applications,
      RequestRateLimiter rateLimiter,
      RequestMetrics metrics) {
    this.manifest = manifest;
    this.metrics = metrics;
    ReadinessCheck readiness = new ReadinessCheck(state);
    WorkspaceLimiter limiter = new WorkspaceLimiter(rateLimiter);
    this.generationHandler = new GenerationHandler(readiness, manifest, limiter, routing, metrics);
    this.passThroughHandler =
        new PassThroughHandler(
            readiness,
            manifest,
            limiter,
            applications,
            new KeyedRequestExecutor(ledger, applications));
    this.server = new HttpServer(address, this::registerRoutes);
  }

  /** Starts listening. */
  public void start() {
    server.start();
  }

  /** Stops listening and closes all connections. */
  public void stop() {
    server.stop();
  }

  /** Returns the number of generation and pass-through requests whose handler has not returned. */
  public int requestsInProgress() {
    return requestsInProgress.get();
  }

  /** Returns the port that the server listens on. */
  public int port() {
    return server.port();
  }

  private void registerRoutes(RoutesConfig routes) {
    routes.before(ctx -> ctx.header(REQUEST_ID_HEADER, UUID.randomUUID().toString()));
    routes.post("/v1/completions", ctx -> handleGeneration(ctx, false));
    routes.post("/v1/chat/completions", ctx -> handleGeneration(ctx, true));
    routes.get("/v1/models", this::listModels);
    for (HandlerType method : PASS_THROUGH_METHODS) {
      routes.addHttpHandler(method, "/*", this::handlePassThrough);
    }
    routes.exception(MustardlatchException.class, this::writeError);
    // The connection to the caller is broken, so no error response can be sent.
    routes.exception(IOException.class, (e, ctx) -> {});
    routes.exception(Exception.class, this::writeInternalError);
  }

  private void handleGeneration(Context ctx, boolean chat)
      throws IOException, InterruptedException {
    trackInProgress(() -> generationHandler.handle(ctx, new RequestId(requestId(ctx)), chat));
  }

  private void handlePassThrough(Context ctx) throws IOException, InterruptedException {
    trackInProgress(() -> passThroughHandler.handle(ctx, requestId(ctx)));
  }

  private void trackInProgress(RequestTask task) throws IOException, InterruptedException {
    requestsInProgress.incrementAndGet();
    try {
      task.run();
    } finally {
      requestsInProgress.decrementAndGet();
    }
  }

  private static String requestId(Context ctx) {
    return String.valueOf(ctx.res().getHeader(REQUEST_ID_HEADER));
  }

  private void listModels(Context ctx) {
    Manifest activeManifest = manifest.currentOrThrow();
    Authenticator.authenticate(activeManifest, ctx.header("Authorization"));
    ObjectNode response = JsonNodeFactory.instance.objectNode().put("object", "list");
    ArrayNode data = response.putArray("data");
    activeManifest
        .models()
        .forEach(
            m ->
                data.addObject()
                    .put("id", m.id().value())
                    .put("object", "model")
                    .put("owned_by", activeManifest.name()));
    ctx.contentType("application/json").result(response.toString());
  }

  private void writeError(MustardlatchException error, Context ctx) {
    metrics.recordError(error.code());
    ErrorResponseWriter.write(ctx, error);
  }

  private void writeInternalError(Exception fault, Context ctx) {
    EventLog.log(LogEvent.UNEXPECTED_ERROR, ctx.path(), fault);
    writeError(new MustardlatchException(ErrorCode.INTERNAL, "internal error; see the log"), ctx);
  }

  private interface RequestTask {
    void run() throws IOException, InterruptedException;
  }
}
