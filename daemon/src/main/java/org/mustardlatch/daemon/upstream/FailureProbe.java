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
 * Finds out what a broken or silent call means. A fresh connection tells a dead process from a dead
 * connection, because open connections may go silent while new ones work.
 */
final class FailureProbe {
  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  /**
   * Returns the failure of a call that ended without an answer.
   *
   * @param stalled whether the call was given up because it made no progress
   */
  Failure classify(UpstreamHost host, AttemptId attempt, boolean stalled) {
    if (stalled) {
      host.evictConnections();
    }
    Failure failure = probe(host, stalled);
    EventLog.log(LogEvent.UPSTREAM_CALL_BROKEN, host.id(), attempt, failure);
    return failure;
  }

  private static Failure probe(UpstreamHost host, boolean stalled) {
    Request request = new Request.Builder().url(host.url("/metrics.json")).build();
    try (Response response =
        host.client().newBuilder().callTimeout(TIMEOUT).build().newCall(request).execute()) {
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
