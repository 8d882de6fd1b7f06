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

/** A prefill call: the engine processes the prompt and retains the KV cache for a decode call. */
final class PrefillCall extends EngineCall {
  PrefillCall(
      EngineContext context,
      UpstreamHost host,
      GenerationExchange exchange,
      AttemptId attempt,
      ProgressTimeouts timeouts,
      Call call) {
    super(context, host, exchange, attempt, timeouts, call);
  }

  @Override
  void readResponse(Response response, ProgressMonitor monitor) throws IOException {
    JsonNode transfer = EngineJson.read(response).path("kv_transfer_params");
    String reference = transfer.path("remote_request_id").asText();
    if (reference.isEmpty()) {
      throw new IOException("prefill response has no kv_transfer_params.remote_request_id");
    }
    exchange().storeTransferParameters(reference, transfer);
    long timeToLiveNanos = Duration.ofMillis(transfer.path("expires_ms").asLong()).toNanos();
    post(
        new RoutingEvent.PrefillFinished(
            attempt(),
            new KvHandle(
                host().id(),
                reference,
                transfer.path("remote_bytes").asLong(),
                context().timers().nanos() + timeToLiveNanos)));
  }

  @Override
  RoutingEvent failureEvent(Failure failure) {
    return new RoutingEvent.PrefillFailed(attempt(), failure);
  }
}
