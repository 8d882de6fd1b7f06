package org.mustardlatch.daemon.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import okhttp3.Call;
import okhttp3.Response;
import okhttp3.sse.EventSource;
import okhttp3.sse.EventSourceListener;
import okhttp3.sse.EventSources;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.routing.Failure;
import org.mustardlatch.core.routing.RoutingEvent;
import org.mustardlatch.daemon.routing.Chunk;
import org.mustardlatch.daemon.routing.GenerationExchange;
import org.mustardlatch.daemon.routing.ResponseSink.Producer;

/** Has an engine fetch a KV cache and generate; passes the tokens to the request's sink. */
final class DecodeCall extends EngineCall {
  private static final String LAST_EVENT = "[DONE]";

  private final Producer producer;

  DecodeCall(
      EngineContext context,
      UpstreamHost host,
      GenerationExchange exchange,
      Producer lane,
      ProgressTimeouts limits,
      Call call) {
    super(context, host, exchange, lane.attempt(), limits, call);
    this.producer = lane;
  }

  @Override
  void readResponse(Response response, ProgressMonitor watch) throws IOException {
    post(new RoutingEvent.DecodeStarted(attempt()));
    watch.recordProgress(timeouts().firstToken());
    StreamListener reader = new StreamListener(watch);
    EventSources.processResponse(response, reader);
    if (!reader.finished && !isCancelled()) {
      throw new IOException("stream ended before its last event", reader.error);
    }
  }

  @Override
  RoutingEvent failureEvent(Failure failure) {
    return new RoutingEvent.DecodeFailed(attempt(), failure);
  }

  private void handleEvent(JsonNode event, StreamListener reader) {
    int total = event.path("usage").path("completion_tokens").asInt(reader.tokensReceived + 1);
    JsonNode choice = event.path("choices").path(0);
    if (!(choice instanceof ObjectNode object)) {
      return;
    }
    Chunk chunk = toChunk(object, total - reader.tokensReceived);
    reader.tokensReceived = total;
    if (exchange().sink().append(producer, chunk)) {
      post(new RoutingEvent.TokensArrived(attempt(), chunk.tokens()));
    }
    if (chunk.finishReason() != null) {
      finishStream(reader);
    }
  }

  private void finishStream(StreamListener reader) {
    reader.finished = true;
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

  /** Collects the events of the stream on the thread of the call. */
  private final class StreamListener extends EventSourceListener {
    private final ProgressMonitor monitor;
    private int tokensReceived;
    private boolean finished;
    private @Nullable Throwable error;

    StreamListener(ProgressMonitor watch) {
      this.monitor = watch;
    }

    @Override
    public void onEvent(
        EventSource source, @Nullable String id, @Nullable String type, String data) {
      monitor.recordProgress(timeouts().tokenGap());
      if (finished) {
        return;
      }
      if (data.equals(LAST_EVENT)) {
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
