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
import org.mustardlatch.daemon.node.ManifestInForce;
import org.mustardlatch.daemon.routing.EngineCommands;
import org.mustardlatch.daemon.routing.Exchange;
import org.mustardlatch.daemon.routing.GenerationInput;
import org.mustardlatch.daemon.routing.ResponseSink.Lane;

/** Calls engines for the routing policy. */
public final class EngineCalls implements EngineCommands {
  private final UpstreamHosts hosts;
  private final ManifestInForce manifest;
  private final TimerService timers;
  private final Executor executor;
  private final Owner owner;
  private final ActiveCalls calls = new ActiveCalls();
  private final EngineContext context;
  private final Consumer<RoutingEvent> events;

  /**
   * Creates a client without calls.
   *
   * @param executor runs blocking calls, one virtual thread each
   * @param events takes what the calls report
   */
  public EngineCalls(
      UpstreamHosts hosts,
      ManifestInForce manifest,
      TimerService timers,
      Executor executor,
      Owner owner,
      Consumer<RoutingEvent> events) {
    this.hosts = hosts;
    this.manifest = manifest;
    this.timers = timers;
    this.executor = executor;
    this.owner = owner;
    this.events = events;
    this.context = new EngineContext(timers, calls, new FailureProbe(), events);
  }

  @Override
  public void startPrefill(Exchange exchange, AttemptId attempt, UpstreamId upstream) {
    // From here on the earlier attempt must not add to the answer, or the longer prompt of this one
    // would lack what it adds.
    exchange.sink().open(attempt);
    Optional<UpstreamHost> host = hosts.find(upstream);
    if (host.isEmpty()) {
      events.accept(new RoutingEvent.PrefillFailed(attempt, Failure.REFUSED));
      return;
    }
    RequestBody body = EngineBodies.prefill(exchange.input(), exchange.sink().soFar());
    Call call = call(host.get(), exchange.input().path(), attempt, body);
    start(new PrefillCall(context, host.get(), exchange, attempt, limits(exchange), call));
  }

  @Override
  public void startDecode(
      Exchange exchange, AttemptId attempt, UpstreamId upstream, KvHandle handle) {
    Lane lane = exchange.sink().open(attempt);
    Optional<UpstreamHost> host = hosts.find(upstream);
    Optional<HttpUrl> source = hosts.find(handle.source()).map(UpstreamHost::base);
    Optional<JsonNode> transfer = exchange.transferParameters(handle.reference());
    if (host.isEmpty() || source.isEmpty() || transfer.isEmpty()) {
      events.accept(new RoutingEvent.DecodeFailed(attempt, Failure.REFUSED));
      return;
    }
    RequestBody body =
        EngineBodies.decode(
            exchange.input(), exchange.sink().soFar(), transfer.get(), source.get());
    Call call = call(host.get(), exchange.input().path(), attempt, body);
    start(new DecodeCall(context, host.get(), exchange, lane, limits(exchange), call));
  }

  @Override
  public void cancel(AttemptId attempt, UpstreamId upstream) {
    calls.cancel(attempt, upstream);
    cancel(attempt.toString(), upstream);
  }

  @Override
  public void cancelHeld(ReportedAttempt held, UpstreamId upstream) {
    cancel(held.attempt(), upstream);
  }

  @Override
  public void releaseKv(KvHandle handle) {
    cancel(handle.reference(), handle.source());
  }

  /** Returns the number of engine calls in progress. */
  public int inProgress() {
    return calls.size();
  }

  private void cancel(String attempt, UpstreamId upstream) {
    hosts
        .find(upstream)
        .ifPresent(host -> executor.execute(new CancelTask(host, attempt, timers, executor)));
  }

  private void start(EngineCall call) {
    calls.add(call);
    executor.execute(call);
  }

  private Call call(UpstreamHost host, String path, AttemptId attempt, RequestBody body) {
    return host.client()
        .newCall(
            new Request.Builder()
                .url(host.url(path))
                .header("X-Request-Id", attempt.toString())
                .header("X-Router-Incarnation", owner.header())
                .post(body)
                .build());
  }

  private ProgressLimits limits(Exchange exchange) {
    GenerationInput input = exchange.input();
    return manifest
        .current()
        .flatMap(applied -> applied.manifest().model(input.model()))
        .map(ProgressLimits::of)
        .orElse(ProgressLimits.DEFAULT);
  }
}
