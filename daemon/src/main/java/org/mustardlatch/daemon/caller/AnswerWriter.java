package org.mustardlatch.daemon.caller;

import io.javalin.http.Context;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.daemon.routing.Chunk;
import org.mustardlatch.daemon.routing.GenerationExchange;
import org.mustardlatch.daemon.routing.ResponseSink;
import org.mustardlatch.daemon.routing.SinkEvent;

/** Takes the answer from a sink and writes it to the caller, as a stream or as a whole. */
final class AnswerWriter {
  /** A caller that leaves is noticed within this time while no token comes. */
  private static final Duration CONNECTION_CHECK = Duration.ofMillis(250);

  private final Context ctx;
  private final GenerationExchange exchange;
  private final ResponseSink sink;
  private final CallerConnection connection;
  private final AnswerChunks chunks;
  private int tokens;

  AnswerWriter(Context ctx, GenerationExchange exchange) {
    this.ctx = ctx;
    this.exchange = exchange;
    this.sink = exchange.sink();
    this.connection = new CallerConnection(ctx);
    this.chunks = new AnswerChunks(exchange);
  }

  /**
   * Writes the answer.
   *
   * @return how it ended
   * @throws RefusedException when the request failed before any byte was written
   * @throws IOException when the caller is gone
   */
  Ending write() throws IOException, InterruptedException {
    SinkEvent first = next();
    if (first instanceof SinkEvent.Failed failed) {
      throw new RefusedException(failed.code(), failed.detail(), failed.retryAfter());
    }
    return exchange.input().stream() ? stream(first) : whole(first);
  }

  /** Returns the number of tokens that were written or collected. */
  int tokens() {
    return tokens;
  }

  private Ending whole(SinkEvent first) throws IOException, InterruptedException {
    StringBuilder text = new StringBuilder();
    String finishReason = "stop";
    for (SinkEvent event = first; ; event = next()) {
      switch (event) {
        case SinkEvent.ChunkAppended piece -> {
          text.append(piece.chunk().text());
          tokens += piece.chunk().tokens();
          finishReason = reason(piece.chunk(), finishReason);
        }
        case SinkEvent.Failed failed ->
            throw new RefusedException(failed.code(), failed.detail(), failed.retryAfter());
        case SinkEvent.Completed end -> {
          ctx.contentType("application/json")
              .result(chunks.whole(text.toString(), finishReason, tokens));
          return Ending.COMPLETE;
        }
      }
    }
  }

  private Ending stream(SinkEvent first) throws IOException, InterruptedException {
    ctx.contentType("text/event-stream");
    ctx.header("Cache-Control", "no-cache");
    OutputStream out = ctx.res().getOutputStream();
    for (SinkEvent event = first; ; event = nextFlushed(out)) {
      switch (event) {
        case SinkEvent.ChunkAppended piece -> {
          tokens += piece.chunk().tokens();
          send(out, chunks.event(piece.chunk()));
        }
        case SinkEvent.Failed failed -> {
          send(out, ErrorAnswer.body(failed.code(), failed.detail()));
          out.flush();
          return Ending.FAILED;
        }
        case SinkEvent.Completed end -> {
          if (exchange.input().usageInStream()) {
            send(out, chunks.usageEvent(tokens));
          }
          send(out, "[DONE]");
          out.flush();
          return Ending.COMPLETE;
        }
      }
    }
  }

  /** Returns the next event; flushes only when none is waiting. */
  private SinkEvent nextFlushed(OutputStream out) throws IOException, InterruptedException {
    SinkEvent waiting = sink.poll(Duration.ZERO);
    if (waiting != null) {
      return waiting;
    }
    out.flush();
    return next();
  }

  private SinkEvent next() throws IOException, InterruptedException {
    SinkEvent event = sink.poll(CONNECTION_CHECK);
    while (event == null) {
      if (connection.isGone()) {
        throw new IOException("caller closed the connection");
      }
      event = sink.poll(CONNECTION_CHECK);
    }
    return event;
  }

  private static void send(OutputStream out, String data) throws IOException {
    out.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
  }

  private static String reason(Chunk chunk, String otherwise) {
    @Nullable String reason = chunk.finishReason();
    return reason == null ? otherwise : reason;
  }

  /** How an answer ended. */
  enum Ending {
    COMPLETE,
    FAILED
  }
}
