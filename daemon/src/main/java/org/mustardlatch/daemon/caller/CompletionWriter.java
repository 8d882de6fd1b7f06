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

/**
 * Reads the output of one generation request from its {@link ResponseSink} and writes it to the
 * caller, as server-sent events or as one JSON body. Used only on the request's handler thread.
 */
final class CompletionWriter {
  /** Longest time until a closed caller connection is detected while no token arrives. */
  private static final Duration CONNECTION_CHECK_INTERVAL = Duration.ofMillis(250);

  private final Context ctx;
  private final GenerationExchange exchange;
  private final ResponseSink sink;
  private final CallerConnection connection;
  private final CompletionFormatter formatter;
  private int tokenCount;

  CompletionWriter(Context ctx, GenerationExchange exchange) {
    this.ctx = ctx;
    this.exchange = exchange;
    this.sink = exchange.sink();
    this.connection = new CallerConnection(ctx);
    this.formatter = new CompletionFormatter(exchange);
  }

  /**
   * Writes the response and blocks until it is complete or has failed.
   *
   * @return {@link WriteOutcome#FAILED} if a stream broke off after its first event
   * @throws RefusedException if the request failed before any byte was written; a response that is
   *     not streamed is written as a whole at its end
   * @throws IOException if the caller has disconnected
   */
  WriteOutcome write() throws IOException, InterruptedException {
    SinkEvent first = awaitNext();
    if (first instanceof SinkEvent.Failed failed) {
      throw new RefusedException(failed.code(), failed.detail(), failed.retryAfter());
    }
    return exchange.input().stream() ? writeStream(first) : writeCompletion(first);
  }

  /** Returns the number of tokens in the chunks that were read from the sink so far. */
  int tokenCount() {
    return tokenCount;
  }

  private WriteOutcome writeCompletion(SinkEvent first) throws IOException, InterruptedException {
    StringBuilder text = new StringBuilder();
    String finishReason = "stop";
    for (SinkEvent event = first; ; event = awaitNext()) {
      switch (event) {
        case SinkEvent.ChunkAppended appended -> {
          text.append(appended.chunk().text());
          tokenCount += appended.chunk().tokens();
          finishReason = finishReasonOr(appended.chunk(), finishReason);
        }
        case SinkEvent.Failed failed ->
            throw new RefusedException(failed.code(), failed.detail(), failed.retryAfter());
        case SinkEvent.Completed completed -> {
          ctx.contentType("application/json")
              .result(formatter.formatCompletion(text.toString(), finishReason, tokenCount));
          return WriteOutcome.COMPLETE;
        }
      }
    }
  }

  private WriteOutcome writeStream(SinkEvent first) throws IOException, InterruptedException {
    ctx.contentType("text/event-stream");
    ctx.header("Cache-Control", "no-cache");
    OutputStream out = ctx.res().getOutputStream();
    for (SinkEvent event = first; ; event = nextFlushingIfIdle(out)) {
      switch (event) {
        case SinkEvent.ChunkAppended appended -> {
          tokenCount += appended.chunk().tokens();
          writeEvent(out, formatter.formatChunk(appended.chunk()));
        }
        case SinkEvent.Failed failed -> {
          writeEvent(out, ErrorResponseWriter.toJson(failed.code(), failed.detail()));
          out.flush();
          return WriteOutcome.FAILED;
        }
        case SinkEvent.Completed completed -> {
          if (exchange.input().usageInStream()) {
            writeEvent(out, formatter.formatUsage(tokenCount));
          }
          writeEvent(out, "[DONE]");
          out.flush();
          return WriteOutcome.COMPLETE;
        }
      }
    }
  }

  /**
   * Returns the next event. Flushes the stream only if no event is queued, so that several queued
   * events are sent with one flush.
   */
  private SinkEvent nextFlushingIfIdle(OutputStream out) throws IOException, InterruptedException {
    SinkEvent queued = sink.poll(Duration.ZERO);
    if (queued != null) {
      return queued;
    }
    out.flush();
    return awaitNext();
  }

  private SinkEvent awaitNext() throws IOException, InterruptedException {
    SinkEvent event = sink.poll(CONNECTION_CHECK_INTERVAL);
    while (event == null) {
      if (connection.isClosed()) {
        throw new IOException("caller closed the connection");
      }
      event = sink.poll(CONNECTION_CHECK_INTERVAL);
    }
    return event;
  }

  private static void writeEvent(OutputStream out, String data) throws IOException {
    out.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
  }

  private static String finishReasonOr(Chunk chunk, String defaultReason) {
    @Nullable String reason = chunk.finishReason();
    return reason == null ? defaultReason : reason;
  }

  /** Result of writing a response. */
  enum WriteOutcome {
    /** The whole output was written. */
    COMPLETE,
    /** The request failed mid-stream; the stream ends with an error event. */
    FAILED
  }
}
