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
import org.mustardlatch.daemon.routing.Exchange;

/** Has an engine process a prompt and keep the KV cache. */
final class PrefillCall extends EngineCall {
  PrefillCall(
      EngineContext context,
      UpstreamHost host,
      Exchange exchange,
      AttemptId attempt,
      ProgressLimits limits,
      Call call) {
    super(context, host, exchange, attempt, limits, call);
  }

  @Override
  void read(Response response, ProgressWatch watch) throws IOException {
    JsonNode transfer = EngineJson.read(response.body().string()).path("kv_transfer_params");
    String reference = transfer.path("remote_request_id").asText();
    if (reference.isEmpty()) {
      throw new IOException("prefill answer has no kv_transfer_params.remote_request_id");
    }
    exchange().keepTransferParameters(reference, transfer);
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
  RoutingEvent failed(Failure failure) {
    return new RoutingEvent.PrefillFailed(attempt(), failure);
  }
}
