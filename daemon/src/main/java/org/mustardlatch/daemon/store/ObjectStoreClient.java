package org.mustardlatch.daemon.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.core.time.TimerSubscription;

/**
 * Client of the object service. No method blocks. Futures complete on a thread of the HTTP client
 * and never exceptionally: every failure is a result.
 */
public final class ObjectStoreClient implements AutoCloseable {
  static final ObjectMapper JSON = new ObjectMapper();
  private static final MediaType JSON_TYPE = MediaType.get("application/json");

  private final HttpUrl base;
  private final ObjectStoreTimeouts timeouts;
  private final TimerService timers;
  private final OkHttpClient http;
  private final OkHttpClient watchHttp;

  /**
   * Creates a client; connections are made on demand.
   *
   * @param url base URL of the object service, {@code http} or {@code https}
   * @param timeouts time limits of calls
   * @param timers for opening failed watches again
   * @throws IllegalArgumentException when the URL is not usable
   */
  public ObjectStoreClient(URI url, ObjectStoreTimeouts timeouts, TimerService timers) {
    HttpUrl parsed = HttpUrl.parse(url.toString());
    if (parsed == null) {
      throw new IllegalArgumentException("not an HTTP URL: " + url);
    }
    base = parsed.newBuilder().addPathSegments("apis/mustardlatch.org/v1").build();
    this.timeouts = timeouts;
    this.timers = timers;
    http =
        new OkHttpClient.Builder()
            .connectTimeout(timeouts.connect())
            .callTimeout(timeouts.call())
            .retryOnConnectionFailure(false) // a repeated update would see its own first try
            .followRedirects(false)
            .eventListenerFactory(SentTracker::of)
            .build();
    watchHttp =
        http.newBuilder().callTimeout(Duration.ZERO).readTimeout(timeouts.watchIdle()).build();
  }

  /** Reads an object. */
  public CompletableFuture<ReadResult> get(String kind, String name) {
    Request request = request().url(objectUrl(kind, name)).build();
    return send(
        http.newCall(request),
        response ->
            switch (response.code()) {
              case 200 -> new ReadResult.Found(parseObject(name, response.body().string()));
              case 404 -> new ReadResult.NotFound();
              default -> new ReadResult.Failed("status " + response.code());
            },
        (reason, sent) -> new ReadResult.Failed(reason));
  }

  /** Lists the objects of a kind; empty on failure when {@code failed} has been called. */
  public CompletableFuture<List<StoredObject>> list(String kind, Consumer<String> failed) {
    Request request = request().url(base.newBuilder().addPathSegment(kind).build()).build();
    return send(
        http.newCall(request),
        response -> {
          if (response.code() != 200) {
            failed.accept("status " + response.code());
            return List.of();
          }
          List<StoredObject> objects = new ArrayList<>();
          for (JsonNode item : JSON.readTree(response.body().string()).path("items")) {
            objects.add(toObject(item.path("metadata").path("name").asText(), item));
          }
          return List.copyOf(objects);
        },
        (reason, sent) -> {
          failed.accept(reason);
          return List.of();
        });
  }

  /**
   * Creates or updates an object on condition of its version.
   *
   * @param version the version that must be the current one; empty when the object must not exist
   * @param spec the new content
   */
  public CompletableFuture<WriteResult> put(
      String kind, String name, String version, JsonNode spec) {
    ObjectNode body = JSON.createObjectNode();
    body.putObject("metadata").put("name", name).put("resourceVersion", version);
    body.set("spec", spec);
    Request request =
        request()
            .url(objectUrl(kind, name))
            .put(RequestBody.create(body.toString(), JSON_TYPE))
            .build();
    return send(
        http.newCall(request),
        response -> writeResult(name, response),
        (reason, sent) ->
            sent
                ? new WriteResult.Unknown(reason)
                : new WriteResult.Refused(reason, false, Duration.ZERO));
  }

  /**
   * Watches an object until the subscription is cancelled. After a failure the watch is opened
   * again from the last version seen.
   *
   * @param listener gets the object as it is now and after every later change, on a thread of the
   *     HTTP client; intermediate versions may be left out
   */
  public TimerSubscription watch(String kind, String name, Consumer<StoredObject> listener) {
    ObjectWatch watch =
        new ObjectWatch(watchHttp, objectUrl(kind, name), name, timeouts, timers, listener);
    watch.open();
    return watch;
  }

  /** Ends all calls and the threads of the client. */
  @Override
  public void close() {
    http.dispatcher().cancelAll();
    http.dispatcher().executorService().shutdown();
    http.connectionPool().evictAll();
  }

  private static Request.Builder request() {
    return new Request.Builder().tag(SentTracker.class, new SentTracker());
  }

  private HttpUrl objectUrl(String kind, String name) {
    return base.newBuilder().addPathSegment(kind).addPathSegment(name).build();
  }

  private static WriteResult writeResult(String name, Response response) throws IOException {
    int status = response.code();
    if (status == 200 || status == 201) {
      return new WriteResult.Stored(parseObject(name, response.body().string()).version());
    }
    if (status == 409) {
      return new WriteResult.Conflict();
    }
    if (status >= 400 && status < 500) {
      return new WriteResult.Refused("status " + status, status == 413, retryAfter(response));
    }
    // A gateway sends 5xx also after it passed the update on, so nothing is known.
    return new WriteResult.Unknown("status " + status);
  }

  private static Duration retryAfter(Response response) {
    String value = response.header("Retry-After", "0");
    return value != null && value.matches("\\d{1,6}")
        ? Duration.ofSeconds(Long.parseLong(value))
        : Duration.ZERO;
  }

  static StoredObject parseObject(String name, String text) throws IOException {
    return toObject(name, JSON.readTree(text));
  }

  static StoredObject toObject(String name, JsonNode node) throws IOException {
    String version = node.path("metadata").path("resourceVersion").asText("");
    if (version.isEmpty()) {
      throw new IOException("object " + name + " has no resourceVersion");
    }
    return new StoredObject(name, version, node.path("spec"));
  }

  private interface ResponseReader<T> {
    T read(Response response) throws IOException;
  }

  private interface FailureReader<T> {
    T read(String reason, boolean sent);
  }

  private <T> CompletableFuture<T> send(
      Call call, ResponseReader<T> reader, FailureReader<T> onFailure) {
    CompletableFuture<T> result = new CompletableFuture<>();
    SentTracker tracker = SentTracker.of(call);
    call.enqueue(
        new Callback() {
          @Override
          public void onFailure(Call failed, IOException e) {
            result.complete(onFailure.read(describe(e), tracker.sent()));
          }

          @Override
          public void onResponse(Call answered, Response response) {
            try (response) {
              result.complete(reader.read(response));
            } catch (IOException | RuntimeException e) {
              result.complete(onFailure.read(describe(e), true));
            }
          }
        });
    return result;
  }

  static String describe(Exception e) {
    return e.getClass().getSimpleName() + ": " + e.getMessage();
  }
}
