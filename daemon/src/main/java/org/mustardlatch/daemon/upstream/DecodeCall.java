package org.mustardlatch.daemon.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import okhttp3.Call;
import okhttp3.Response;
import okhttp3.ResponseBody;
import okhttp3.sse.EventSource;
import okhttp3.sse.EventSourceListener;
import okhttp3.sse.EventSources;
import okio.Okio;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.AttemptId;
import org.mustardlatch.core.routing.Failure;
import org.mustardlatch.core.routing.RoutingEvent;
import org.mustardlatch.daemon.routing.Chunk;
import org.mustardlatch.daemon.routing.GenerationExchange;
import org.mustardlatch.daemon.routing.ResponseSink.Producer;

/**
 * A decode call: the engine fetches the KV cache and streams the generated tokens, which are
 * appended to the request's sink.
 */
final class DecodeCall extends EngineCall {
  private static final String FINAL_EVENT = "[DONE]";

  private final Producer producer;

  DecodeCall(
      EngineContext context,
      UpstreamHost host,
      GenerationExchange exchange,
      Producer producer,
      ProgressTimeouts timeouts,
      Call call) {
    super(context, host, exchange, producer.attempt(), timeouts, call);
    this.producer = producer;
  }

  @Override
  void readResponse(Response response, ProgressMonitor monitor) throws IOException {
    AttemptId earlier = exchange().sink().currentAttempt();
    if (!exchange().sink().takeOver(producer)) {
      // The engine before has sent output after all, so this one must stop.
      postFailure(Failure.DISCONNECTED);
      return;
    }
    post(new RoutingEvent.DecodeStarted(attempt()));
    if (earlier != null && !earlier.equals(attempt())) {
      // Tells the router in case that it has given up this call in the meantime.
      post(new RoutingEvent.DecodeFailed(earlier, Failure.DISCONNECTED));
    }
    monitor.recordProgress(timeouts().firstToken());
    ResponseBody body = response.body();
    EventSizeLimit limit = new EventSizeLimit(body.source());
    StreamListener listener = new StreamListener(monitor, limit);
    ResponseBody limited =
        ResponseBody.create(Okio.buffer(limit), body.contentType(), body.contentLength());
    EventSources.processResponse(response.newBuilder().body(limited).build(), listener);
    if (!listener.finished && !isCancelled()) {
      throw new IOException("stream ended before the final event", listener.error);
    }
  }

  @Override
  RoutingEvent failureEvent(Failure failure) {
    return new RoutingEvent.DecodeFailed(attempt(), failure);
  }

  private void handleEvent(JsonNode event, StreamListener listener) {
    int total = event.path("usage").path("completion_tokens").asInt(listener.tokensReceived + 1);
    JsonNode choice = event.path("choices").path(0);
    if (!(choice instanceof ObjectNode object)) {
      return;
    }
    Chunk chunk = toChunk(object, total - listener.tokensReceived);
    listener.tokensReceived = total;
    if (exchange().sink().append(producer, chunk)) {
      post(new RoutingEvent.TokensArrived(attempt(), chunk.tokens()));
    }
    if (chunk.finishReason() != null) {
      finishStream(listener);
    }
  }

  private void finishStream(StreamListener listener) {
    listener.finished = true;
    if (exchange().sink().isCurrent(producer)) {
      post(new RoutingEvent.DecodeFinished(attempt()));
    }
  }

  private Chunk toChunk(ObjectNode choice, int tokens) {
    List<Integer> ids = new ArrayList<>();
    choice.path("token_ids").forEach(id -> ids.add(id.asInt()));
    choice.remove("token_ids");
    JsonNode reason = choice.path("finish_reason");
    String text =
        exchange().input().chat()
            ? choice.path("delta").path("content").asText("")
            : choice.path("text").asText("");
    return new Chunk(choice, text, ids, tokens, reason.isTextual() ? reason.asText() : null);
  }

  /** Receives the server-sent events of the stream, on the thread of the call. */
  private final class StreamListener extends EventSourceListener {
    private final ProgressMonitor monitor;
    private final EventSizeLimit limit;
    private int tokensReceived;
    private boolean finished;
    private @Nullable Throwable error;

    StreamListener(ProgressMonitor monitor, EventSizeLimit limit) {
      this.monitor = monitor;
      this.limit = limit;
    }

    @Override
    public void onEvent(
        EventSource source, @Nullable String id, @Nullable String type, String data) {
      monitor.recordProgress(timeouts().tokenGap());
      limit.eventReceived();
      if (finished) {
        return;
      }
      if (data.equals(FINAL_EVENT)) {
        finishStream(this);
        return;
      }
      try {
        handleEvent(EngineJson.parse(data), this);
      } catch (IOException e) {
        error = e;
        source.cancel();
      }
    }

    @Override
    public void onFailure(
        EventSource source, @Nullable Throwable failure, @Nullable Response response) {
      error = failure;
    }
  }
}
