package org.mustardlatch.daemon.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.function.Consumer;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import okio.BufferedSource;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.core.time.TimerSubscription;

/**
 * Watch of one object. The watch is reopened after each failure, from the last received version,
 * until it is cancelled.
 */
final class ObjectWatch implements TimerSubscription, Callback {
  private final OkHttpClient http;
  private final HttpUrl url;
  private final String name;
  private final ObjectStoreTimeouts timeouts;
  private final TimerService timers;
  private final Consumer<StoredObject> listener;

  /** Last received version; 0, before any version, makes the service send the current object. */
  private volatile String lastVersion = "0";

  private volatile boolean cancelled;
  private volatile @Nullable Call call;

  ObjectWatch(
      OkHttpClient http,
      HttpUrl url,
      String name,
      ObjectStoreTimeouts timeouts,
      TimerService timers,
      Consumer<StoredObject> listener) {
    this.http = http;
    this.url = url;
    this.name = name;
    this.timeouts = timeouts;
    this.timers = timers;
    this.listener = listener;
  }

  void open() {
    if (cancelled) {
      return;
    }
    HttpUrl watchUrl =
        url.newBuilder()
            .addQueryParameter("watch", "true")
            .addQueryParameter("resourceVersion", lastVersion)
            .build();
    Call next = http.newCall(new Request.Builder().url(watchUrl).build());
    call = next;
    next.enqueue(this);
    if (cancelled) {
      next.cancel();
    }
  }

  @Override
  public void cancel() {
    cancelled = true;
    Call current = call;
    if (current != null) {
      current.cancel();
    }
  }

  @Override
  public void onFailure(Call failed, IOException e) {
    scheduleReopen();
  }

  @Override
  public void onResponse(Call completed, Response response) {
    try (response) {
      if (response.code() == 200) {
        readLines(response.body().source());
      }
    } catch (IOException e) {
      // The connection failed or was idle for too long. In both cases the watch is reopened below.
    } finally {
      scheduleReopen();
    }
  }

  private void readLines(BufferedSource source) throws IOException {
    String line = source.readUtf8Line();
    while (line != null && !cancelled) {
      JsonNode event = ObjectStoreClient.JSON.readTree(line);
      if (event.has("object")) {
        StoredObject object = ObjectStoreClient.toObject(name, event.path("object"));
        lastVersion = object.version();
        listener.accept(object);
      }
      line = source.readUtf8Line();
    }
  }

  private void scheduleReopen() {
    if (!cancelled) {
      timers.schedule(timeouts.watchRetryDelay(), this::open);
    }
  }
}
