package org.mustardlatch.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.config.RoutesConfig;
import io.javalin.http.Context;
import java.net.URI;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.kohsuke.args4j.Option;

/**
 * An application service on loopback that does not protect itself against repeats. Every POST runs;
 * runs are counted by {@code Idempotency-Key}. GET look-ups have no effect, and {@code GET
 * /outcomes/KEY} tells the answer that a key got.
 */
public final class ApplicationStandin {
  private final ApplicationFaults faults = new ApplicationFaults();
  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private final Map<String, String> answers = new ConcurrentHashMap<>();
  private final AtomicInteger lookUps = new AtomicInteger();
  private final AtomicInteger confirmations = new AtomicInteger();
  private final StandinServer server;

  /**
   * Creates a service that is not started.
   *
   * @param port port to listen on; 0 for any free one
   */
  public ApplicationStandin(int port) {
    server = new StandinServer(port, this::routes);
  }

  /** Starts listening; after {@link #stop} on the same port again, with the runs it has counted. */
  public void start() {
    server.start();
  }

  /** Closes all connections and stops listening. */
  public void stop() {
    faults.stall(false);
    server.stop();
  }

  /** Returns the fault switches. */
  public ApplicationFaults faults() {
    return faults;
  }

  /** Returns how often the work of a key ran. */
  public int runs(String key) {
    AtomicInteger count = runs.get(key);
    return count == null ? 0 : count.get();
  }

  /** Returns the number of look-ups. */
  public int lookUps() {
    return lookUps.get();
  }

  /** Returns the base URL. */
  public URI url() {
    return server.url();
  }

  private void routes(RoutesConfig routes) {
    routes.get("/outcomes/{key}", this::outcome);
    routes.get("/*", this::lookUp);
    routes.post("/*", this::confirm);
    routes.exception(EngineError.class, ApplicationStandin::writeError);
  }

  private void confirm(Context ctx) throws InterruptedException {
    if (faults.refusing()) {
      throw new EngineError(503, "overloaded", "refused before it ran");
    }
    faults.awaitNoStall();
    String key = String.valueOf(ctx.header("Idempotency-Key"));
    int run = runs.computeIfAbsent(key, k -> new AtomicInteger()).incrementAndGet();
    ObjectNode answer = Json.object();
    answer.put("confirmation", confirmations.incrementAndGet()).put("run", run);
    answer.put("body_bytes", ctx.body().length());
    answers.put(key, answer.toString());
    if (faults.losingAnswers()) {
      server.breakConnection(ctx);
      return;
    }
    if (faults.failing()) {
      throw new EngineError(500, "failed", "failed after it ran");
    }
    ctx.status(201).result(answer.toString()).contentType("application/json");
  }

  private void lookUp(Context ctx) throws InterruptedException {
    if (faults.refusing()) {
      throw new EngineError(503, "overloaded", "refused before it ran");
    }
    faults.awaitNoStall();
    ObjectNode answer = Json.object().put("path", ctx.path());
    answer.put("query", ctx.queryString()).put("look_up", lookUps.incrementAndGet());
    ctx.result(answer.toString()).contentType("application/json");
  }

  private void outcome(Context ctx) {
    String answer = answers.get(ctx.pathParam("key"));
    if (answer == null) {
      throw new EngineError(404, "unknown_key", "no run of this key");
    }
    ctx.status(201).result(answer).contentType("application/json");
  }

  private static void writeError(EngineError error, Context ctx) {
    ObjectNode body = Json.object();
    body.putObject("error").put("code", error.code()).put("message", error.getMessage());
    ctx.status(error.status()).result(body.toString()).contentType("application/json");
  }

  /** Runs a service until the process is stopped. */
  public static void main(String[] args) {
    Arguments arguments = new Arguments();
    StandinMain.run(
        arguments,
        args,
        () -> {
          ApplicationStandin application = new ApplicationStandin(arguments.port);
          application.start();
          return application.url();
        });
  }

  private static final class Arguments {
    @Option(name = "--port", usage = "port to listen on; 0 for any free one")
    private int port;
  }
}
