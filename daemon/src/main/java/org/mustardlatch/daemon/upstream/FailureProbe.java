package org.mustardlatch.daemon.upstream;

import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import okhttp3.Request;
import okhttp3.Response;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.routing.Failure;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;

/**
 * Classifies an engine call that broke or stalled, by a metrics request to the same engine. After a
 * stall the idle connections are evicted first, so the probe opens a new connection: an established
 * connection may stop delivering data while new ones work, so this tells a dead engine process from
 * a dead connection.
 */
final class FailureProbe {
  private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(1);

  /**
   * Returns the failure of a call that ended without a complete response. Blocks for up to one
   * second.
   *
   * @param stalled whether the call was cancelled because it made no progress
   */
  Failure classify(UpstreamHost host, AttemptId attempt, boolean stalled) {
    if (stalled) {
      host.evictConnections();
    }
    Failure failure = probe(host, stalled);
    EventLog.log(LogEvent.UPSTREAM_CALL_BROKEN, host.id(), attempt, failure);
    return failure;
  }

  /**
   * Probes the engine; a second stall without a success in between is reported as a stalled engine.
   */
  private static Failure probe(UpstreamHost host, boolean stalled) {
    Request request = new Request.Builder().url(host.url("/metrics.json")).build();
    try (Response response =
        host.controlClient()
            .newBuilder()
            .callTimeout(PROBE_TIMEOUT)
            .build()
            .newCall(request)
            .execute()) {
      if (stalled && host.recordStall()) {
        return Failure.STALLED;
      }
      return response.isSuccessful() ? Failure.DISCONNECTED : Failure.CRASHED;
    } catch (ConnectException e) {
      return Failure.CRASHED;
    } catch (IOException e) {
      return stalled ? Failure.STALLED : Failure.CRASHED;
    }
  }
}
