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
import org.mustardlatch.daemon.routing.Exchange;
import org.mustardlatch.daemon.routing.ResponseSink.Lane;

/** Has an engine fetch a KV cache and generate; passes the tokens to the request's sink. */
final class DecodeCall extends EngineCall {
  private static final String LAST_EVENT = "[DONE]";

  private final Lane lane;

  DecodeCall(
      EngineContext context,
      UpstreamHost host,
      Exchange exchange,
      Lane lane,
      ProgressLimits limits,
      Call call) {
    super(context, host, exchange, lane.attempt(), limits, call);
    this.lane = lane;
  }

  @Override
  void read(Response response, ProgressWatch watch) throws IOException {
    post(new RoutingEvent.DecodeStarted(attempt()));
    watch.progress(limits().firstToken());
    Reader reader = new Reader(watch);
    EventSources.processResponse(response, reader);
    if (!reader.finished && !isCancelled()) {
      throw new IOException("stream ended before its last event", reader.error);
    }
  }

  @Override
  RoutingEvent failed(Failure failure) {
    return new RoutingEvent.DecodeFailed(attempt(), failure);
  }

  private void accept(JsonNode event, Reader reader) {
    int total = event.path("usage").path("completion_tokens").asInt(reader.tokens + 1);
    JsonNode choice = event.path("choices").path(0);
    if (!(choice instanceof ObjectNode object)) {
      return;
    }
    Chunk chunk = chunk(object, total - reader.tokens);
    reader.tokens = total;
    if (exchange().sink().accept(lane, chunk)) {
      post(new RoutingEvent.TokensArrived(attempt(), chunk.tokens()));
    }
    if (chunk.finishReason() != null) {
      finish(reader);
    }
  }

  private void finish(Reader reader) {
    reader.finished = true;
    if (exchange().sink().isCurrent(lane)) {
      post(new RoutingEvent.DecodeFinished(attempt()));
    }
  }

  private Chunk chunk(ObjectNode choice, int tokens) {
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
  private final class Reader extends EventSourceListener {
    private final ProgressWatch watch;
    private int tokens;
    private boolean finished;
    private @Nullable Throwable error;

    Reader(ProgressWatch watch) {
      this.watch = watch;
    }

    @Override
    public void onEvent(
        EventSource source, @Nullable String id, @Nullable String type, String data) {
      watch.progress(limits().gap());
      if (finished) {
        return;
      }
      if (data.equals(LAST_EVENT)) {
        finish(this);
        return;
      }
      try {
        accept(EngineJson.read(data), this);
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
