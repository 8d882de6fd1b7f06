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
 * Polls the engines of the cells that this node admits work to for their load reports and attempt
 * lists. An engine of a cell that this node takes over is polled within one tick, without waiting
 * for a period.
 */
public final class UpstreamPoller {
  private static final Duration TICK_PERIOD = Duration.ofMillis(100);
  private static final Duration LOAD_PERIOD = Duration.ofMillis(500);
  private static final Duration ATTEMPT_LIST_PERIOD = Duration.ofSeconds(2);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

  private final UpstreamHosts hosts;
  private final Supplier<List<UpstreamId>> polledEngines;
  private final TimerService timers;
  private final Executor executor;
  private final Consumer<RoutingEvent> events;
  private final Map<UpstreamId, Long> nextLoadReadNanos = new HashMap<>();
  private final Map<UpstreamId, Long> nextAttemptListNanos = new HashMap<>();
  private TimerSubscription subscription = () -> {};

  /**
   * Creates a poller that is not started.
   *
   * @param polledEngines supplies the engines to poll; called on the thread of the timer service
   * @param executor runs the blocking calls
   * @param events receives the routing events with the results
   */
  public UpstreamPoller(
      UpstreamHosts hosts,
      Supplier<List<UpstreamId>> polledEngines,
      TimerService timers,
      Executor executor,
      Consumer<RoutingEvent> events) {
    this.hosts = hosts;
    this.polledEngines = polledEngines;
    this.timers = timers;
    this.executor = executor;
    this.events = events;
  }

  /** Starts the polling. */
  public void start() {
    subscription = timers.scheduleRepeating(TICK_PERIOD, this::tick);
  }

  /** Stops the polling. Calls in progress still end. */
  public void stop() {
    subscription.cancel();
  }

  private void tick() {
    List<UpstreamId> current = polledEngines.get();
    nextLoadReadNanos.keySet().retainAll(current);
    nextAttemptListNanos.keySet().retainAll(current);
    for (UpstreamId id : current) {
      hosts
          .find(id)
          .ifPresent(
              host -> {
                if (advanceIfDue(nextLoadReadNanos, id, LOAD_PERIOD)) {
                  executor.execute(() -> readLoad(host));
                }
                if (advanceIfDue(nextAttemptListNanos, id, ATTEMPT_LIST_PERIOD)) {
                  executor.execute(() -> readAttemptList(host));
                }
              });
    }
  }

  /**
   * Returns whether an upstream is to be read now; if so, schedules its next read one period later.
   */
  private boolean advanceIfDue(
      Map<UpstreamId, Long> nextReadNanos, UpstreamId id, Duration period) {
    long now = timers.nanos();
    Long due = nextReadNanos.get(id);
    if (due != null && now - due < 0) {
      return false;
    }
    nextReadNanos.put(id, now + period.toNanos());
    return true;
  }

  private void readLoad(UpstreamHost host) {
    JsonNode report = getJson(host, host.url("/metrics.json"));
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

  private void readAttemptList(UpstreamHost host) {
    JsonNode list = getJson(host, host.url("/v1/requests"));
    if (list.isObject()) {
      List<ReportedAttempt> attempts = new ArrayList<>();
      list.path("attempts").forEach(item -> addReportedAttempt(attempts, item));
      events.accept(new RoutingEvent.AttemptsListed(host.id(), attempts));
    }
  }

  private static void addReportedAttempt(List<ReportedAttempt> attempts, JsonNode item) {
    try {
      attempts.add(
          new ReportedAttempt(
              item.path("attempt").asText(),
              new HostId(item.path("owner").asText()),
              item.path("incarnation").asLong()));
    } catch (IllegalArgumentException e) {
      // An attempt of a client other than a router node has no valid owner; nodes must not cancel
      // it.
    }
  }

  /**
   * Returns the response, or a missing node when the call fails; the next period repeats the call.
   */
  private static JsonNode getJson(UpstreamHost host, HttpUrl url) {
    OkHttpClient client = host.controlClient().newBuilder().callTimeout(CALL_TIMEOUT).build();
    try (Response response = client.newCall(new Request.Builder().url(url).build()).execute()) {
      return response.isSuccessful() ? EngineJson.read(response) : EngineJson.missingNode();
    } catch (IOException e) {
      host.evictConnections();
      return EngineJson.missingNode();
    }
  }
}
