package org.mustardlatch.daemon.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.routing.LoadReport;
import org.mustardlatch.core.routing.ReportedAttempt;
import org.mustardlatch.core.routing.RoutingEvent;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.core.time.TimerSubscription;

/**
 * Reads load reports and lists of held attempts of the engines whose cells this node admits to. An
 * engine that comes under this node is read at once.
 */
public final class UpstreamPoller {
  private static final Duration TICK = Duration.ofMillis(100);
  private static final Duration LOAD_PERIOD = Duration.ofMillis(500);
  private static final Duration HELD_PERIOD = Duration.ofSeconds(2);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

  private final UpstreamHosts hosts;
  private final Supplier<List<UpstreamId>> engines;
  private final TimerService timers;
  private final Executor executor;
  private final Consumer<RoutingEvent> events;
  private final Map<UpstreamId, Long> loadDueNanos = new HashMap<>();
  private final Map<UpstreamId, Long> heldDueNanos = new HashMap<>();
  private TimerSubscription subscription = () -> {};

  /**
   * Creates a poller that is not started.
   *
   * @param engines returns the engines to read; called on the thread of the timer service
   * @param executor runs blocking calls
   */
  public UpstreamPoller(
      UpstreamHosts hosts,
      Supplier<List<UpstreamId>> engines,
      TimerService timers,
      Executor executor,
      Consumer<RoutingEvent> events) {
    this.hosts = hosts;
    this.engines = engines;
    this.timers = timers;
    this.executor = executor;
    this.events = events;
  }

  /** Starts reading. */
  public void start() {
    subscription = timers.every(TICK, this::tick);
  }

  /** Stops reading. */
  public void stop() {
    subscription.cancel();
  }

  private void tick() {
    List<UpstreamId> now = engines.get();
    loadDueNanos.keySet().retainAll(now);
    heldDueNanos.keySet().retainAll(now);
    for (UpstreamId id : now) {
      hosts
          .find(id)
          .ifPresent(
              host -> {
                if (takeDue(loadDueNanos, id, LOAD_PERIOD)) {
                  executor.execute(() -> readLoad(host));
                }
                if (takeDue(heldDueNanos, id, HELD_PERIOD)) {
                  executor.execute(() -> readHeld(host));
                }
              });
    }
  }

  private boolean takeDue(Map<UpstreamId, Long> dueNanos, UpstreamId id, Duration period) {
    long now = timers.nanos();
    Long due = dueNanos.get(id);
    if (due != null && now - due < 0) {
      return false;
    }
    dueNanos.put(id, now + period.toNanos());
    return true;
  }

  private void readLoad(UpstreamHost host) {
    JsonNode report = get(host, host.url("/metrics.json"));
    if (report.isObject()) {
      events.accept(
          new RoutingEvent.LoadReported(
              host.id(),
              new LoadReport(
                  report.path("running_requests").asInt(),
                  report.path("queued_requests").asInt(),
                  report.path("free_memory_pieces").asInt(),
                  report.path("leaving").asBoolean())));
    }
  }

  private void readHeld(UpstreamHost host) {
    JsonNode list = get(host, host.url("/v1/requests"));
    if (list.isObject()) {
      List<ReportedAttempt> held = new ArrayList<>();
      list.path("attempts").forEach(item -> addHeld(held, item));
      events.accept(new RoutingEvent.AttemptsListed(host.id(), held));
    }
  }

  private static void addHeld(List<ReportedAttempt> held, JsonNode item) {
    try {
      held.add(
          new ReportedAttempt(
              item.path("attempt").asText(),
              new HostId(item.path("owner").asText()),
              item.path("incarnation").asLong()));
    } catch (IllegalArgumentException e) {
      // Work of a client that is no daemon has no valid owner; it is not ours to cancel.
    }
  }

  /** Returns the answer, or an empty value when there is none; the next period tries again. */
  private static JsonNode get(UpstreamHost host, HttpUrl url) {
    OkHttpClient client = host.client().newBuilder().callTimeout(CALL_TIMEOUT).build();
    try (Response response = client.newCall(new Request.Builder().url(url).build()).execute()) {
      return response.isSuccessful()
          ? EngineJson.read(response.body().string())
          : EngineJson.missing();
    } catch (IOException e) {
      host.evictConnections();
      return EngineJson.missing();
    }
  }
}
