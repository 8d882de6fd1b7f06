package org.mustardlatch.daemon.upstream;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.Executor;
import okhttp3.Request;
import okhttp3.Response;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;

/**
 * Repeats the cancellation of an attempt on an engine, with exponential backoff, until the engine
 * acknowledges it or {@link #ACKNOWLEDGEMENT_TIMEOUT} has passed. Status 200 and 404 both mean that
 * the engine keeps no state of the attempt. Each run blocks its thread for one call.
 */
final class CancelTask implements Runnable {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);
  private static final Duration MAX_BACKOFF = Duration.ofSeconds(5);

  /**
   * Time after which the cancellation is no longer repeated; the periodic list of the engine's
   * attempts then finds what is left.
   */
  private static final Duration ACKNOWLEDGEMENT_TIMEOUT = Duration.ofSeconds(60);

  private final UpstreamHost host;

  /** Id of the request on the engine: an attempt id or the reference of a KV cache. */
  private final String engineRequestId;

  private final TimerService timers;
  private final Executor executor;
  private final long acknowledgementDeadlineNanos;
  private Duration backoff = INITIAL_BACKOFF;

  CancelTask(UpstreamHost host, String engineRequestId, TimerService timers, Executor executor) {
    this.host = host;
    this.engineRequestId = engineRequestId;
    this.timers = timers;
    this.executor = executor;
    this.acknowledgementDeadlineNanos = timers.nanos() + ACKNOWLEDGEMENT_TIMEOUT.toNanos();
  }

  @Override
  public void run() {
    if (sendCancellation()) {
      return;
    }
    if (timers.nanos() >= acknowledgementDeadlineNanos) {
      EventLog.log(LogEvent.CANCEL_NOT_ACKNOWLEDGED, host.id(), engineRequestId);
      return;
    }
    host.evictConnections();
    timers.schedule(backoff, () -> executor.execute(this));
    Duration doubled = backoff.multipliedBy(2);
    backoff = doubled.compareTo(MAX_BACKOFF) < 0 ? doubled : MAX_BACKOFF;
  }

  /** Sends one cancellation; returns whether the engine acknowledged it. */
  private boolean sendCancellation() {
    Request request =
        new Request.Builder().url(host.url("/v1/requests/" + engineRequestId)).delete().build();
    try (Response response =
        host.controlClient()
            .newBuilder()
            .callTimeout(CALL_TIMEOUT)
            .build()
            .newCall(request)
            .execute()) {
      return response.code() == 200 || response.code() == 404;
    } catch (IOException e) {
      return false;
    }
  }
}
