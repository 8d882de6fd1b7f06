package org.mustardlatch.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.http.Context;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/** Fetches KV caches and generates tokens. */
final class Decode {
  private static final long STALL_POLL_MILLIS = 20;

  private final EngineOptions options;
  private final EngineFaults faults;
  private final AllocationTable table;
  private final Runnable crash;
  private final Predicate<Context> silent;
  private final OkHttpClient client =
      new OkHttpClient.Builder().readTimeout(Duration.ofSeconds(30)).build();

  Decode(
      EngineOptions options,
      EngineFaults faults,
      AllocationTable table,
      Runnable crash,
      Predicate<Context> silent) {
    this.options = options;
    this.faults = faults;
    this.table = table;
    this.crash = crash;
    this.silent = silent;
  }

  void handle(Context ctx, EngineCall call) throws IOException, InterruptedException {
    AllocationTable.Held entry =
        table.add(
            new Allocation(
                call.attempt(),
                "decode",
                call.owner(),
                call.incarnation(),
                EngineCall.pieces(call.promptTokens() + call.maxTokens())));
    if (entry == null) {
      throw new EngineError(503, "engine_full", "no slot or memory for " + call.attempt());
    }
    try {
      fetchCache(call);
      generate(ctx, call, entry);
    } finally {
      table.remove(entry);
    }
  }

  private void fetchCache(EngineCall call) throws IOException {
    JsonNode kv = call.kv();
    if (!kv.path("do_remote_prefill").asBoolean()) {
      return;
    }
    String url =
        "http://%s:%d/kv/%s"
            .formatted(
                kv.path("remote_host").asText(),
                kv.path("remote_port").asInt(),
                kv.path("remote_request_id").asText());
    try (Response answer = client.newCall(new Request.Builder().url(url).build()).execute()) {
      if (answer.code() != 200) {
        throw new EngineError(410, "kv_expired", url + " answered " + answer.code());
      }
      if (!KvCache.belongsTo(answer.body().bytes(), call.prompt())) {
        throw new EngineError(500, "kv_mismatch", "KV cache is of another prompt");
      }
    }
  }

  private void generate(Context ctx, EngineCall call, AllocationTable.Held entry)
      throws IOException, InterruptedException {
    ctx.contentType("text/event-stream");
    OutputStream out = ctx.res().getOutputStream();
    ctx.res().flushBuffer();
    TokenText text = new TokenText(call.prompt());
    for (int sent = 0; sent < call.maxTokens(); sent++) {
      if (faults.crashesAt(sent, call.prompt())) {
        crash.run();
        return;
      }
      if (waitCancelled(sent, entry)) {
        return;
      }
      send(ctx, out, chunk(call, text.nextId(), sent + 1));
    }
    send(ctx, out, "[DONE]");
  }

  private boolean waitCancelled(int sent, AllocationTable.Held entry) throws InterruptedException {
    boolean cancelled = entry.cancelled().await(options.tokenGap().toNanos(), TimeUnit.NANOSECONDS);
    while (!cancelled && faults.stallsAt(sent)) {
      cancelled = entry.cancelled().await(STALL_POLL_MILLIS, TimeUnit.MILLISECONDS);
    }
    return cancelled;
  }

  /** Writes an event. A broken connection does not end the generation; only a cancel does. */
  private void send(Context ctx, OutputStream out, String data) {
    if (ctx.attribute("disconnected") != null || silent.test(ctx)) {
      return;
    }
    try {
      out.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
      out.flush();
    } catch (IOException e) {
      ctx.attribute("disconnected", true);
    }
  }

  private String chunk(EngineCall call, int id, int count) {
    ObjectNode chunk = Json.object();
    chunk.put("id", call.attempt());
    chunk.put("object", call.chat() ? "chat.completion.chunk" : "text_completion");
    ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
    if (call.chat()) {
      choice.putObject("delta").put("content", TokenText.textOf(id));
    } else {
      choice.put("text", TokenText.textOf(id));
    }
    if (call.tokenIds()) {
      choice.putArray("token_ids").add(id);
    }
    choice.put("finish_reason", count == call.maxTokens() ? "length" : null);
    chunk.putObject("usage").put("completion_tokens", count);
    return chunk.toString();
  }
}
