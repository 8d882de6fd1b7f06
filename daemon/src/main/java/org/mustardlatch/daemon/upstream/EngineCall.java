package org.mustardlatch.daemon.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.ConnectException;
import okhttp3.Call;
import okhttp3.Response;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.routing.Failure;
import org.mustardlatch.core.routing.RoutingEvent;
import org.mustardlatch.daemon.routing.Exchange;

/** One call of an engine for an attempt; runs on a virtual thread of its own. */
abstract class EngineCall implements Runnable {
  private static final int STATUS_GONE = 410;
  private static final int STATUS_TOO_MANY = 429;
  private static final int STATUS_UNAVAILABLE = 503;

  private final EngineContext context;
  private final UpstreamHost host;
  private final Exchange exchange;
  private final AttemptId attempt;
  private final ProgressLimits limits;
  private final Call call;
  private volatile boolean cancelled;

  EngineCall(
      EngineContext context,
      UpstreamHost host,
      Exchange exchange,
      AttemptId attempt,
      ProgressLimits limits,
      Call call) {
    this.context = context;
    this.host = host;
    this.exchange = exchange;
    this.attempt = attempt;
    this.limits = limits;
    this.call = call;
  }

  @Override
  public final void run() {
    ProgressWatch watch = new ProgressWatch(context.timers(), call, limits.firstToken());
    try {
      try (Response response = call.execute()) {
        if (response.isSuccessful()) {
          read(response, watch);
          host.noteProgress();
        } else {
          fail(refusal(response));
        }
      }
    } catch (ConnectException e) {
      fail(Failure.REFUSED);
    } catch (IOException e) {
      if (cancelled) {
        return;
      }
      fail(context.probe().classify(host, attempt, watch.expired()));
    } finally {
      watch.close();
      context.calls().remove(this);
    }
  }

  /** Reads a successful answer and posts the events that it means. */
  abstract void read(Response response, ProgressWatch watch) throws IOException;

  /** Returns the event for a failure. */
  abstract RoutingEvent failed(Failure failure);

  /** Ends the call without further events. */
  final void cancel() {
    cancelled = true;
    call.cancel();
  }

  final boolean isCancelled() {
    return cancelled;
  }

  final void post(RoutingEvent event) {
    if (!cancelled) {
      context.events().accept(event);
    }
  }

  final void fail(Failure failure) {
    post(failed(failure));
  }

  final EngineContext context() {
    return context;
  }

  final UpstreamHost host() {
    return host;
  }

  final Exchange exchange() {
    return exchange;
  }

  final AttemptId attempt() {
    return attempt;
  }

  final ProgressLimits limits() {
    return limits;
  }

  private Failure refusal(Response response) throws IOException {
    if (response.header("X-Leaving") != null) {
      context.events().accept(new RoutingEvent.UpstreamLeaving(host.id()));
    }
    return switch (response.code()) {
      case STATUS_UNAVAILABLE, STATUS_TOO_MANY -> Failure.REFUSED;
      case STATUS_GONE -> Failure.KV_EXPIRED;
      default -> {
        JsonNode error = EngineJson.read(response.body().string()).path("error");
        context.logFailure(host, attempt, response.code(), error.path("message").asText());
        yield Failure.REFUSED;
      }
    };
  }
}
