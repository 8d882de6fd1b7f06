package org.mustardlatch.daemon.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import okhttp3.Call;
import okhttp3.Response;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.routing.Failure;
import org.mustardlatch.core.routing.KvHandle;
import org.mustardlatch.core.routing.RoutingEvent;
import org.mustardlatch.daemon.routing.GenerationExchange;

/** Has an engine process a prompt and keep the KV cache. */
final class PrefillCall extends EngineCall {
  PrefillCall(
      EngineContext context,
      UpstreamHost host,
      GenerationExchange exchange,
      AttemptId attempt,
      ProgressTimeouts limits,
      Call call) {
    super(context, host, exchange, attempt, limits, call);
  }

  @Override
  void readResponse(Response response, ProgressMonitor watch) throws IOException {
    JsonNode transfer = EngineJson.parse(response.body().string()).path("kv_transfer_params");
    String reference = transfer.path("remote_request_id").asText();
    if (reference.isEmpty()) {
      throw new IOException("prefill answer has no kv_transfer_params.remote_request_id");
    }
    exchange().storeTransferParameters(reference, transfer);
    long lifeNanos = Duration.ofMillis(transfer.path("expires_ms").asLong()).toNanos();
    post(
        new RoutingEvent.PrefillFinished(
            attempt(),
            new KvHandle(
                host().id(),
                reference,
                transfer.path("remote_bytes").asLong(),
                context().timers().nanos() + lifeNanos)));
  }

  @Override
  RoutingEvent failureEvent(Failure failure) {
    return new RoutingEvent.PrefillFailed(attempt(), failure);
  }
}
