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
import org.mustardlatch.daemon.node.HttpServer;
import org.mustardlatch.daemon.node.ManifestInForce;
import org.mustardlatch.daemon.node.NodeState;
import org.mustardlatch.daemon.operator.RequestMetrics;
import org.mustardlatch.daemon.routing.RoutingService;
import org.mustardlatch.daemon.upstream.ApplicationClient;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;

/** The HTTP interface for callers. */
public final class CallerApi {
  private static final String REQUEST_ID = "X-Request-Id";
  private static final List<HandlerType> PASSED_METHODS =
      List.of(
          HandlerType.GET,
          HandlerType.HEAD,
          HandlerType.POST,
          HandlerType.PUT,
          HandlerType.PATCH,
          HandlerType.DELETE);

  private final ManifestInForce manifest;
  private final RequestMetrics metrics;
  private final GenerationHandler generation;
  private final PassThroughHandler passThrough;
  private final HttpServer server;
  private final AtomicInteger inProgress = new AtomicInteger();

  /** Creates the interface; it does not listen yet. */
  public CallerApi(
      SocketAddress address,
      NodeState state,
      ManifestInForce manifest,
      RoutingService routing,
      LedgerService ledger,
      ApplicationClient applications,
      RequestRates rates,
      RequestMetrics metrics) {
    this.manifest = manifest;
    this.metrics = metrics;
    Gate gate = new Gate(state);
    WorkspaceLimits limits = new WorkspaceLimits(rates);
    this.generation = new GenerationHandler(gate, manifest, limits, routing, metrics);
    this.passThrough =
        new PassThroughHandler(
            gate, manifest, limits, applications, new KeyedWork(ledger, applications));
    this.server = new HttpServer(address, this::routes);
  }

  /** Starts listening. */
  public void start() {
    server.start();
  }

  /** Stops listening and closes all connections. */
  public void stop() {
    server.stop();
  }

  /** Returns the number of requests whose answers are not yet written. */
  public int inProgress() {
    return inProgress.get();
  }

  /** Returns the port that it listens on. */
  public int port() {
    return server.port();
  }

  private void routes(RoutesConfig routes) {
    routes.before(ctx -> ctx.header(REQUEST_ID, UUID.randomUUID().toString()));
    routes.post("/v1/completions", ctx -> generate(ctx, false));
    routes.post("/v1/chat/completions", ctx -> generate(ctx, true));
    routes.get("/v1/models", this::listModels);
    for (HandlerType method : PASSED_METHODS) {
      routes.addHttpHandler(method, "/*", this::pass);
    }
    routes.exception(MustardlatchException.class, this::answerError);
    routes.exception(IOException.class, (e, ctx) -> {});
    routes.exception(Exception.class, this::answerFault);
  }

  private void generate(Context ctx, boolean chat) throws IOException, InterruptedException {
    count(() -> generation.handle(ctx, new RequestId(requestId(ctx)), chat));
  }

  private void pass(Context ctx) throws IOException, InterruptedException {
    count(() -> passThrough.handle(ctx, requestId(ctx)));
  }

  private void count(Work work) throws IOException, InterruptedException {
    inProgress.incrementAndGet();
    try {
      work.run();
    } finally {
      inProgress.decrementAndGet();
    }
  }

  private static String requestId(Context ctx) {
    return String.valueOf(ctx.res().getHeader(REQUEST_ID));
  }

  private void listModels(Context ctx) {
    Manifest inForce = manifest.orThrow();
    Authenticator.authenticate(inForce, ctx.header("Authorization"));
    ObjectNode answer = JsonNodeFactory.instance.objectNode().put("object", "list");
    ArrayNode data = answer.putArray("data");
    inForce
        .models()
        .forEach(
            m ->
                data.addObject()
                    .put("id", m.id().value())
                    .put("object", "model")
                    .put("owned_by", inForce.name()));
    ctx.contentType("application/json").result(answer.toString());
  }

  private void answerError(MustardlatchException error, Context ctx) {
    metrics.error(error.code());
    ErrorAnswer.write(ctx, error);
  }

  private void answerFault(Exception fault, Context ctx) {
    EventLog.log(LogEvent.UNEXPECTED_ERROR, ctx.path(), fault);
    answerError(new MustardlatchException(ErrorCode.INTERNAL, "internal error; see the log"), ctx);
  }

  private interface Work {
    void run() throws IOException, InterruptedException;
  }
}
