package org.mustardlatch.daemon.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.config.RoutesConfig;
import io.javalin.http.Context;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.List;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.error.MustardlatchException;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.settings.SocketAddress;
import org.mustardlatch.daemon.node.ActiveManifest;
import org.mustardlatch.daemon.node.AppliedManifest;
import org.mustardlatch.daemon.node.HttpServer;
import org.mustardlatch.daemon.node.ManifestPublisher;
import org.mustardlatch.daemon.node.NodeState;
import org.mustardlatch.daemon.routing.ExplainLog;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;

/**
 * HTTP server for operators: metrics, health, node state, routing decisions, the manifest and
 * graceful stop. Each request runs on a virtual thread of its own.
 */
public final class OperatorApi {
  private final NodeState state;
  private final ActiveManifest manifest;
  private final NodeInspector inspector;
  private final ManifestPublisher publisher;
  private final Runnable drain;
  private final PrometheusMeterRegistry metrics;
  private final HttpServer server;

  /**
   * Creates the server without listening; {@link #start} opens the port.
   *
   * @param drain starts a graceful stop and returns without waiting for its end
   */
  public OperatorApi(
      SocketAddress address,
      NodeState state,
      ActiveManifest manifest,
      NodeInspector inspector,
      ManifestPublisher publisher,
      Runnable drain,
      PrometheusMeterRegistry metrics) {
    this.state = state;
    this.manifest = manifest;
    this.inspector = inspector;
    this.publisher = publisher;
    this.drain = drain;
    this.metrics = metrics;
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

  /** Returns the port that the server listens on. */
  public int port() {
    return server.port();
  }

  private void registerRoutes(RoutesConfig routes) {
    routes.get("/metrics", ctx -> ctx.contentType("text/plain").result(metrics.scrape()));
    routes.get("/healthz", ctx -> ctx.result("ok"));
    routes.get("/readyz", this::getReadiness);
    routes.get("/status", ctx -> writeJson(ctx, inspector.status()));
    routes.get("/dump", ctx -> writeJson(ctx, inspector.dump()));
    routes.get("/explain/{id}", this::explain);
    routes.get("/manifest", this::getManifest);
    routes.post("/manifest", this::publishManifest);
    routes.post("/drain", this::startDrain);
    routes.exception(MustardlatchException.class, OperatorApi::writeError);
    routes.exception(Exception.class, OperatorApi::writeInternalError);
  }

  private void getReadiness(Context ctx) {
    if (state.phase() == NodeState.Phase.READY) {
      ctx.result("ready");
    } else {
      ctx.status(ErrorCode.NOT_READY.httpStatus()).result(state.phase().name());
    }
  }

  private void explain(Context ctx) {
    String id = ctx.pathParam("id");
    List<ExplainLog.Entry> entries = inspector.explain(new RequestId(id));
    if (entries.isEmpty()) {
      throw new MustardlatchException(
          ErrorCode.UNKNOWN_REQUEST, "request " + id + " is not known on this node");
    }
    ObjectNode response = JsonNodeFactory.instance.objectNode().put("request", id);
    ArrayNode decisions = response.putArray("decisions");
    long firstNanos = entries.get(0).atNanos();
    for (ExplainLog.Entry entry : entries) {
      decisions
          .addObject()
          .put("after_us", (entry.atNanos() - firstNanos) / 1_000)
          .put("rule", entry.rule())
          .put("detail", entry.detail());
    }
    writeJson(ctx, response);
  }

  private void getManifest(Context ctx) {
    AppliedManifest applied =
        manifest
            .current()
            .orElseThrow(
                () -> new MustardlatchException(ErrorCode.NOT_READY, "no manifest is in force"));
    ctx.header("X-Manifest-Revision", Long.toString(applied.revision()));
    ctx.contentType("application/toml").result(applied.text());
  }

  private void publishManifest(Context ctx) {
    ctx.queryParamMap()
        .keySet()
        .forEach(
            key -> {
              if (!key.equals("base")) {
                throw new MustardlatchException(
                    ErrorCode.UNKNOWN_FIELD, "parameter \"" + key + "\" does not exist");
              }
            });
    long revision = publisher.publish(ctx.body(), baseRevision(ctx));
    writeJson(ctx, JsonNodeFactory.instance.objectNode().put("revision", revision));
  }

  /** Returns the revision that the new manifest replaces, from the parameter {@code base}. */
  private static long baseRevision(Context ctx) {
    String base = String.valueOf(ctx.queryParam("base"));
    try {
      return Long.parseUnsignedLong(base);
    } catch (NumberFormatException e) {
      throw new MustardlatchException(
          ErrorCode.INVALID_ARGUMENT,
          "parameter \"base\" must be the revision that the manifest replaces, got \"%s\""
              .formatted(base),
          e);
    }
  }

  private void startDrain(Context ctx) {
    drain.run();
    ctx.status(202);
    writeJson(ctx, JsonNodeFactory.instance.objectNode().put("draining", true));
  }

  private static void writeJson(Context ctx, ObjectNode body) {
    ctx.contentType("application/json").result(body.toString());
  }

  private static void writeError(MustardlatchException error, Context ctx) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.putObject("error")
        .put("code", error.code().wireName())
        .put("message", error.getMessage())
        .put("remedy", "see docs/operator-guide.md for this code");
    ctx.status(error.code().httpStatus());
    writeJson(ctx, body);
  }

  private static void writeInternalError(Exception fault, Context ctx) {
    EventLog.log(LogEvent.UNEXPECTED_ERROR, ctx.path(), fault);
    writeError(new MustardlatchException(ErrorCode.INTERNAL, "internal error; see the log"), ctx);
  }
}
