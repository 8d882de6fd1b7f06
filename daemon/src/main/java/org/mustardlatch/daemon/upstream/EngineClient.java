package org.mustardlatch.daemon.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import okhttp3.Call;
import okhttp3.HttpUrl;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.routing.Failure;
import org.mustardlatch.core.routing.KvHandle;
import org.mustardlatch.core.routing.ReportedAttempt;
import org.mustardlatch.core.routing.RoutingEvent;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.daemon.node.ActiveManifest;
import org.mustardlatch.daemon.routing.EngineCommandExecutor;
import org.mustardlatch.daemon.routing.GenerationExchange;
import org.mustardlatch.daemon.routing.GenerationInput;
import org.mustardlatch.daemon.routing.ResponseSink.Producer;

/**
 * HTTP client that executes the engine commands of the routing policy. Results are posted as
 * routing events; blocking calls run on the executor.
 */
public final class EngineClient implements EngineCommandExecutor {
  private final UpstreamHosts hosts;
  private final ActiveManifest manifest;
  private final TimerService timers;
  private final Executor executor;
  private final AttemptOwner owner;
  private final ActiveCalls activeCalls = new ActiveCalls();
  private final EngineContext context;
  private final Consumer<RoutingEvent> events;

  /**
   * Creates a client without calls in progress.
   *
   * @param executor runs blocking calls, one virtual thread each
   * @param owner identifies this node to engines
   * @param events receives the routing events that the calls produce
   */
  public EngineClient(
      UpstreamHosts hosts,
      ActiveManifest manifest,
      TimerService timers,
      Executor executor,
      AttemptOwner owner,
      Consumer<RoutingEvent> events) {
    this.hosts = hosts;
    this.manifest = manifest;
    this.timers = timers;
    this.executor = executor;
    this.owner = owner;
    this.events = events;
    this.context = new EngineContext(timers, activeCalls, new FailureProbe(), events);
  }

  @Override
  public void startPrefill(GenerationExchange exchange, AttemptId attempt, UpstreamId upstream) {
    if (!replacesRunningCall(exchange, attempt)) {
      // Stops the earlier attempt from adding output that the prompt of this attempt would lack.
      exchange.sink().openProducer(attempt);
    }
    Optional<UpstreamHost> host = hosts.find(upstream);
    if (host.isEmpty()) {
      events.accept(new RoutingEvent.PrefillFailed(attempt, Failure.REFUSED));
      return;
    }
    RequestBody body =
        EngineRequestBodies.prefill(exchange.input(), exchange.sink().partialOutput());
    Call call = newEngineCall(host.get(), exchange.input().path(), attempt, body);
    start(new PrefillCall(context, host.get(), exchange, attempt, timeouts(exchange), call));
  }

  @Override
  public void startDecode(
      GenerationExchange exchange, AttemptId attempt, UpstreamId upstream, KvHandle handle) {
    Producer producer =
        replacesRunningCall(exchange, attempt)
            ? exchange.sink().createReplacement(attempt)
            : exchange.sink().openProducer(attempt);
    Optional<UpstreamHost> host = hosts.find(upstream);
    Optional<HttpUrl> source = hosts.find(handle.source()).map(UpstreamHost::baseUrl);
    Optional<JsonNode> transfer = exchange.transferParameters(handle.reference());
    if (host.isEmpty() || source.isEmpty() || transfer.isEmpty()) {
      events.accept(new RoutingEvent.DecodeFailed(attempt, Failure.REFUSED));
      return;
    }
    RequestBody body =
        EngineRequestBodies.decode(
            exchange.input(), exchange.sink().partialOutput(), transfer.get(), source.get());
    Call call = newEngineCall(host.get(), exchange.input().path(), attempt, body);
    start(new DecodeCall(context, host.get(), exchange, producer, timeouts(exchange), call));
  }

  /** Returns whether an earlier attempt may still add output: its engine is only silent. */
  private boolean replacesRunningCall(GenerationExchange exchange, AttemptId attempt) {
    AttemptId earlier = exchange.sink().currentAttempt();
    return earlier != null && !earlier.equals(attempt) && activeCalls.contains(earlier);
  }

  @Override
  public void cancel(AttemptId attempt, UpstreamId upstream) {
    activeCalls.cancel(attempt, upstream);
    cancel(attempt.toString(), upstream);
  }

  @Override
  public void cancelOrphaned(ReportedAttempt orphan, UpstreamId upstream) {
    cancel(orphan.attempt(), upstream);
  }

  @Override
  public void releaseKv(KvHandle handle) {
    // The reference is the engine's id of the prefill request; cancelling that frees the KV cache.
    cancel(handle.reference(), handle.source());
  }

  /** Returns the number of engine calls in progress. */
  public int callsInProgress() {
    return activeCalls.size();
  }

  private void cancel(String engineRequestId, UpstreamId upstream) {
    hosts
        .find(upstream)
        .ifPresent(
            host -> executor.execute(new CancelTask(host, engineRequestId, timers, executor)));
  }

  private void start(EngineCall call) {
    activeCalls.add(call);
    executor.execute(call);
  }

  private Call newEngineCall(UpstreamHost host, String path, AttemptId attempt, RequestBody body) {
    return host.callClient()
        .newCall(
            new Request.Builder()
                .url(host.url(path))
                .header("X-Request-Id", attempt.toString())
                .header("X-Router-Incarnation", owner.headerValue())
                .post(body)
                .build());
  }

  private ProgressTimeouts timeouts(GenerationExchange exchange) {
    GenerationInput input = exchange.input();
    return manifest
        .current()
        .flatMap(applied -> applied.manifest().model(input.model()))
        .map(ProgressTimeouts::forModel)
        .orElse(ProgressTimeouts.DEFAULT);
  }
}
