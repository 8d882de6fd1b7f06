package org.mustardlatch.daemon.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.ConnectException;
import okhttp3.Call;
import okhttp3.Response;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.routing.Failure;
import org.mustardlatch.core.routing.RoutingEvent;
import org.mustardlatch.daemon.routing.GenerationExchange;

/**
 * One engine call of an attempt. It blocks a virtual thread of its own until the response ends and
 * posts routing events about progress and failure.
 */
abstract class EngineCall implements Runnable {
  private static final int STATUS_GONE = 410;
  private static final int STATUS_TOO_MANY_REQUESTS = 429;
  private static final int STATUS_UNAVAILABLE = 503;

  private final EngineContext context;
  private final UpstreamHost host;
  private final GenerationExchange exchange;
  private final AttemptId attempt;
  private final ProgressTimeouts timeouts;
  private final Call call;
  private volatile boolean cancelled;

  EngineCall(
      EngineContext context,
      UpstreamHost host,
      GenerationExchange exchange,
      AttemptId attempt,
      ProgressTimeouts timeouts,
      Call call) {
    this.context = context;
    this.host = host;
    this.exchange = exchange;
    this.attempt = attempt;
    this.timeouts = timeouts;
    this.call = call;
  }

  @Override
  public final void run() {
    ProgressMonitor monitor = new ProgressMonitor(context.timers(), call, timeouts.firstToken());
    try {
      try (Response response = call.execute()) {
        if (response.isSuccessful()) {
          readResponse(response, monitor);
          host.recordSuccess();
        } else {
          postFailure(classifyErrorResponse(response));
        }
      }
    } catch (ConnectException e) {
      postFailure(Failure.REFUSED);
    } catch (IOException e) {
      if (cancelled) {
        return;
      }
      postFailure(context.failureProbe().classify(host, attempt, monitor.expired()));
    } finally {
      monitor.close();
      context.activeCalls().remove(this);
    }
  }

  /** Reads a successful response, reports its progress to the monitor and posts routing events. */
  abstract void readResponse(Response response, ProgressMonitor monitor) throws IOException;

  /** Returns the routing event that reports a failure. */
  abstract RoutingEvent failureEvent(Failure failure);

  /** Cancels the call; it posts no further events. */
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

  final void postFailure(Failure failure) {
    post(failureEvent(failure));
  }

  final EngineContext context() {
    return context;
  }

  final UpstreamHost host() {
    return host;
  }

  final GenerationExchange exchange() {
    return exchange;
  }

  final AttemptId attempt() {
    return attempt;
  }

  final ProgressTimeouts timeouts() {
    return timeouts;
  }

  /**
   * Returns the failure for an error response and reports an upstream that is leaving (draining).
   */
  private Failure classifyErrorResponse(Response response) throws IOException {
    if (response.header("X-Leaving") != null) {
      context.events().accept(new RoutingEvent.UpstreamLeaving(host.id()));
    }
    return switch (response.code()) {
      case STATUS_UNAVAILABLE, STATUS_TOO_MANY_REQUESTS -> Failure.REFUSED;
      case STATUS_GONE -> Failure.KV_EXPIRED;
      default -> {
        JsonNode error = EngineJson.read(response).path("error");
        context.logUpstreamError(host, attempt, response.code(), error.path("message").asText());
        yield Failure.REFUSED;
      }
    };
  }
}
