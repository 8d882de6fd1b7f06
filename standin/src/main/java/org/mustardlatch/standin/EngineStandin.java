package org.mustardlatch.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.config.RoutesConfig;
import io.javalin.http.Context;
import java.net.URI;
import java.util.List;

/**
 * A model engine on loopback. It speaks the engine format of the design page, generates the text of
 * {@link TokenText}, and keeps what it allocated until the work ends, is cancelled, or the KV cache
 * expires; a broken connection alone frees nothing.
 */
public final class EngineStandin {
  private final EngineOptions options;
  private final EngineFaults faults = new EngineFaults();
  private final AllocationTable table;
  private final OrderBook orders;
  private final Prefill prefill;
  private final Decode decode;
  private final StandinServer server;

  /** Creates an engine that is not started. */
  public EngineStandin(EngineOptions options) {
    this.options = options;
    this.table = new AllocationTable(options.slots(), options.memoryPieces());
    this.orders = new OrderBook(options.checksFencing());
    this.prefill = new Prefill(options, faults, table);
    this.server = new StandinServer(options.port(), this::routes);
    this.decode = new Decode(options, faults, table, this::crash, server::isSilent);
  }

  /** Starts listening. After {@link #crash} it listens on the same port again. */
  public void start() {
    faults.reset();
    server.start();
  }

  /** Stops the engine for good. */
  public void stop() {
    crash();
    prefill.stop();
  }

  /** Closes all connections, forgets all allocations and stops listening. */
  public void crash() {
    server.stop();
    table.clear();
  }

  /** Makes every open connection silent for ever; new connections work. */
  public void goSilent() {
    server.silenceOpenConnections();
  }

  /** Returns the fault switches. */
  public EngineFaults faults() {
    return faults;
  }

  /** Returns what the engine holds now. */
  public List<Allocation> allocations() {
    return table.list();
  }

  /** Returns the most requests that it ran at a time. */
  public int highestRunning() {
    return table.highestRunning();
  }

  /** Returns the orders that it has taken, oldest first. */
  public List<JsonNode> orders() {
    return orders.taken();
  }

  /** Returns the base URL. */
  public URI url() {
    return server.url();
  }

  private void routes(RoutesConfig routes) {
    routes.post("/v1/completions", ctx -> generate(ctx, false));
    routes.post("/v1/chat/completions", ctx -> generate(ctx, true));
    routes.delete("/v1/requests/{attempt}", this::cancel);
    routes.get("/v1/requests", this::listHeld);
    routes.get("/kv/{attempt}", prefill::fetch);
    routes.get("/metrics.json", this::reportLoad);
    routes.post(
        "/admin/orders",
        ctx -> {
          orders.take(Json.read(ctx.body()));
          ctx.result("{}").contentType("application/json");
        });
    routes.get(
        "/admin/orders",
        ctx -> ctx.result(orders.state().toString()).contentType("application/json"));
    routes.exception(EngineError.class, EngineStandin::writeError);
  }

  private void generate(Context ctx, boolean chat) throws Exception {
    if (faults.leaving()) {
      ctx.header("Connection", "close").header("X-Leaving", "true");
      throw new EngineError(503, "leaving", options.name() + " is leaving");
    }
    if (faults.refusing()) {
      ctx.header("Retry-After", "1");
      throw new EngineError(503, "engine_full", options.name() + " refuses new work");
    }
    EngineCall call = EngineCall.read(ctx, chat);
    if (call.isPrefill()) {
      prefill.handle(ctx, call);
    } else {
      decode.handle(ctx, call);
    }
    if (server.isSilent(ctx)) {
      server.holdUntilStop();
    }
  }

  private void cancel(Context ctx) {
    if (faults.takeIgnoredCancel()) {
      throw new EngineError(500, "internal", "cancel failed");
    }
    ctx.status(table.cancel(ctx.pathParam("attempt")) ? 200 : 404);
  }

  private void listHeld(Context ctx) {
    String owner = ctx.queryParam("owner");
    ObjectNode answer = Json.object();
    ArrayNode attempts = answer.putArray("attempts");
    table.list().stream()
        .filter(held -> owner == null || held.owner().equals(owner))
        .forEach(
            held ->
                attempts
                    .addObject()
                    .put("attempt", held.attempt())
                    .put("kind", held.kind())
                    .put("owner", held.owner())
                    .put("incarnation", held.incarnation()));
    ctx.result(answer.toString()).contentType("application/json");
  }

  private void reportLoad(Context ctx) {
    ObjectNode report = Json.object();
    report.put("name", options.name()).put("role", options.role());
    report.put("running_requests", table.running()).put("queued_requests", 0);
    report.put("free_memory_pieces", table.freePieces()).put("leaving", faults.leaving());
    ctx.result(report.toString()).contentType("application/json");
  }

  private static void writeError(EngineError error, Context ctx) {
    ObjectNode body = Json.object();
    body.putObject("error").put("code", error.code()).put("message", error.getMessage());
    ctx.status(error.status()).result(body.toString()).contentType("application/json");
  }

  /** Runs an engine until the process is stopped. */
  public static void main(String[] args) {
    EngineArguments arguments = new EngineArguments();
    StandinMain.run(
        arguments,
        args,
        () -> {
          EngineStandin engine = new EngineStandin(arguments.options());
          engine.start();
          return engine.url();
        });
  }
}
