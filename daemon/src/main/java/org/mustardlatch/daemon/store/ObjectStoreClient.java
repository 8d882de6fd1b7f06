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
import org.mustardlatch.daemon.http.ResponseValidator;

/**
 * Asynchronous client of the object service. No method blocks. Futures complete on a thread of the
 * HTTP client and never exceptionally; failures are reported as result values, or to a callback by
 * {@link #list}.
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
   * Creates a client; connections are opened on demand.
   *
   * @param url base URL of the object service, {@code http} or {@code https}
   * @param timeouts time limits of calls
   * @param timers scheduler for reopening failed watches
   * @throws IllegalArgumentException if the URL is not an HTTP URL
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
            // A repeated update would conflict with its own first attempt.
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .eventListenerFactory(SentTracker::of)
            .addNetworkInterceptor(new ResponseValidator())
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

  /**
   * Lists the objects of a kind.
   *
   * @param failed called with the reason if the list can't be read; the result is then empty
   */
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
   * Creates or updates an object if its current version is the expected one.
   *
   * @param version expected resource version; empty if the object must not exist yet
   * @param spec new content of the object
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
   * Watches an object until the subscription is cancelled. After a failure the watch is reopened
   * from the last received version.
   *
   * @param listener called with the current object and after each later change, on a thread of the
   *     HTTP client; intermediate versions may be skipped
   */
  public TimerSubscription watch(String kind, String name, Consumer<StoredObject> listener) {
    ObjectWatch watch =
        new ObjectWatch(watchHttp, objectUrl(kind, name), name, timeouts, timers, listener);
    watch.open();
    return watch;
  }

  /** Cancels all calls and stops the threads of the client. */
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
    // A gateway can respond with 5xx after it has forwarded the update, so the outcome is unknown.
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

  private interface FailureMapper<T> {
    T map(String reason, boolean sent);
  }

  private <T> CompletableFuture<T> send(
      Call call, ResponseReader<T> reader, FailureMapper<T> onFailure) {
    CompletableFuture<T> result = new CompletableFuture<>();
    SentTracker tracker = SentTracker.of(call);
    call.enqueue(
        new Callback() {
          @Override
          public void onFailure(Call failed, IOException e) {
            result.complete(onFailure.map(describe(e), tracker.sent()));
          }

          @Override
          public void onResponse(Call completed, Response response) {
            try (response) {
              result.complete(reader.read(response));
            } catch (IOException | RuntimeException e) {
              result.complete(onFailure.map(describe(e), true));
            }
          }
        });
    return result;
  }

  static String describe(Exception e) {
    return e.getClass().getSimpleName() + ": " + e.getMessage();
  }
}
