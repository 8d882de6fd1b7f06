package org.mustardlatch.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.Javalin;
import io.javalin.config.RoutesConfig;
import io.javalin.http.Context;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Stand-in of the platform's object service: objects with versions, conditional updates and watches
 * in memory, with call counters and fault switches.
 *
 * <p>{@code GET /control/counters} and {@code GET|PUT /control/faults} serve tests and
 * demonstrations; faults never apply to them.
 */
public final class ObjectServiceStandin implements AutoCloseable {
  /** Largest body of an object, bytes; larger ones get 413. */
  public static final int MAX_OBJECT_BYTES = 1_000_000;

  /** Time between lines of a watch on which nothing happens, milliseconds. */
  static final long WATCH_KEEPALIVE_MILLIS = 1_000;

  private static final String OBJECT = "/apis/mustardlatch.org/v1/{kind}/{name}";
  private static final ObjectMapper JSON = new ObjectMapper();

  private final StoredObjects objects = new StoredObjects();
  private final Map<String, LongAdder> counters = new ConcurrentSkipListMap<>();
  private final CallLimit writeLimit = new CallLimit();
  private final CallLimit readLimit = new CallLimit();
  private final AtomicInteger answersToDrop = new AtomicInteger();
  private volatile ObjectServiceFaults faults = ObjectServiceFaults.NONE;
  private volatile CountDownLatch faultsReplaced = new CountDownLatch(1);
  private volatile boolean stopping;
  private @Nullable Javalin server;

  /**
   * Starts serving on the loopback address.
   *
   * @param port TCP port; 0 picks a free one
   * @return this
   */
  public ObjectServiceStandin start(int port) {
    server =
        Javalin.create(
                config -> {
                  config.startup.showJavalinBanner = false;
                  config.http.maxRequestSize = 4L * MAX_OBJECT_BYTES;
                  defineRoutes(config.routes);
                })
            .start("127.0.0.1", port);
    return this;
  }

  /** Returns the base URL, without a slash at the end. */
  public String url() {
    if (server == null) {
      throw new IllegalStateException("the object service stand-in is not started");
    }
    return "http://127.0.0.1:" + server.port();
  }

  /** Replaces the fault switches; calls that are being delayed go on at once under the new ones. */
  public void setFaults(ObjectServiceFaults next) {
    CountDownLatch replaced = faultsReplaced;
    faultsReplaced = new CountDownLatch(1);
    answersToDrop.set(next.dropAnswers());
    faults = next;
    replaced.countDown();
  }

  /** Returns how often an operation was called: get, put, delete, list or watch. */
  public long calls(String operation) {
    LongAdder counter = counters.get(operation);
    return counter == null ? 0 : counter.sum();
  }

  /** Stops serving; objects are lost. */
  @Override
  public void close() {
    stopping = true;
    if (server != null) {
      server.stop();
    }
  }

  private void defineRoutes(RoutesConfig routes) {
    routes.get(OBJECT, this::read);
    routes.put(OBJECT, this::write);
    routes.delete(OBJECT, this::delete);
    routes.get("/apis/mustardlatch.org/v1/{kind}", this::list);
    routes.get("/control/counters", ctx -> ctx.json(counterValues()));
    routes.get("/control/faults", ctx -> ctx.json(faults));
    routes.put(
        "/control/faults", ctx -> setFaults(JSON.readValue(ctx.body(), ObjectServiceFaults.class)));
  }

  private Map<String, Long> counterValues() {
    Map<String, Long> values = new ConcurrentSkipListMap<>();
    counters.forEach((name, counter) -> values.put(name, counter.sum()));
    return values;
  }

  private void read(Context ctx) throws IOException, InterruptedException {
    boolean watch = "true".equals(ctx.queryParam("watch"));
    if (!admit(ctx, watch ? "watch" : "get", readLimit, faults.readsPerSecond())) {
      return;
    }
    if (watch) {
      watch(ctx);
      return;
    }
    ObjectNode found = objects.get(ctx.pathParam("kind"), ctx.pathParam("name"));
    if (found == null) {
      fail(ctx, 404, "NotFound");
    } else {
      ctx.json(found);
    }
  }

  private void list(Context ctx) throws InterruptedException {
    if (admit(ctx, "list", readLimit, faults.readsPerSecond())) {
      ctx.json(Map.of("items", objects.list(ctx.pathParam("kind"))));
    }
  }

  private void write(Context ctx) throws InterruptedException {
    if (!admit(ctx, "put", writeLimit, faults.writesPerSecond())) {
      return;
    }
    byte[] body = ctx.bodyAsBytes();
    if (body.length > MAX_OBJECT_BYTES) {
      fail(ctx, 413, "TooLarge");
      return;
    }
    ObjectNode content = parse(body);
    if (content == null) {
      fail(ctx, 400, "BadRequest");
      return;
    }
    StoredObjects.PutResult result =
        objects.put(
            ctx.pathParam("kind"), ctx.pathParam("name"), StoredObjects.version(content), content);
    if (answersToDrop.getAndUpdate(n -> Math.max(0, n - 1)) > 0) {
      closeConnection(ctx);
    } else if (result.stored() == null) {
      fail(ctx, 409, "Conflict");
    } else {
      ctx.status(result.created() ? 201 : 200).json(result.stored());
    }
  }

  private void delete(Context ctx) throws InterruptedException {
    if (!admit(ctx, "delete", writeLimit, faults.writesPerSecond())) {
      return;
    }
    if (objects.delete(ctx.pathParam("kind"), ctx.pathParam("name"))) {
      ctx.json(Map.of("status", "Success"));
    } else {
      fail(ctx, 404, "NotFound");
    }
  }

  /**
   * Sends the object whenever it has a later version; a line without object keeps the stream alive.
   */
  private void watch(Context ctx) throws IOException, InterruptedException {
    long version =
        Long.parseLong(ctx.queryParamAsClass("resourceVersion", String.class).getOrDefault("0"));
    ctx.res().setContentType("application/json");
    OutputStream out = ctx.res().getOutputStream();
    out.flush();
    while (!stopping && !faults.down()) {
      ObjectNode next =
          objects.awaitLater(
              ctx.pathParam("kind"), ctx.pathParam("name"), version, WATCH_KEEPALIVE_MILLIS);
      ObjectNode line = JSON.createObjectNode().put("type", next == null ? "BOOKMARK" : "MODIFIED");
      if (next != null) {
        version = Long.parseLong(StoredObjects.version(next));
        line.set("object", next);
      }
      out.write((line + "\n").getBytes(StandardCharsets.UTF_8));
      out.flush();
    }
    closeConnection(ctx);
  }

  /** Counts the call and applies the faults; returns whether the call goes on. */
  private boolean admit(Context ctx, String operation, CallLimit limit, int perSecond)
      throws InterruptedException {
    counters.computeIfAbsent(operation, o -> new LongAdder()).increment();
    boolean unused = faultsReplaced.await(faults.delayMillis(), TimeUnit.MILLISECONDS);
    if (faults.down()) {
      closeConnection(ctx);
      return false;
    }
    if (!limit.allows(perSecond, System.nanoTime())) {
      ctx.header("Retry-After", "1");
      fail(ctx, 429, "TooManyRequests");
      return false;
    }
    return true;
  }

  private static @Nullable ObjectNode parse(byte[] body) {
    try {
      JsonNode node = JSON.readTree(body);
      return node instanceof ObjectNode object ? object : null;
    } catch (IOException e) {
      return null;
    }
  }

  private static void fail(Context ctx, int status, String reason) {
    ctx.status(status).json(Map.of("status", "Failure", "reason", reason, "code", status));
  }

  private static void closeConnection(Context ctx) {
    ServletContextRequest.getServletContextRequest(ctx.req())
        .getConnectionMetaData()
        .getConnection()
        .getEndPoint()
        .close();
  }

  /** Runs the stand-in as a program until it is ended. */
  public static void main(String[] args) throws CmdLineException, JsonProcessingException {
    Options options = new Options();
    new CmdLineParser(options).parseArgument(args);
    ObjectServiceStandin standin = new ObjectServiceStandin().start(options.port);
    Runtime.getRuntime().addShutdownHook(new Thread(standin::close));
    System.out.println(JSON.writeValueAsString(Map.of("url", standin.url())));
  }

  private static final class Options {
    @Option(name = "--port", usage = "TCP port on the loopback address; 0 picks a free one")
    private int port;
  }
}
