package org.mustardlatch.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.http.Context;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/** Processes prompts one at a time and keeps the KV caches until they are fetched or expire. */
final class Prefill {
  private static final long STALL_POLL_MILLIS = 20;

  private final EngineOptions options;
  private final EngineFaults faults;
  private final AllocationTable table;
  private final Semaphore processor = new Semaphore(1, true);
  private final Map<String, byte[]> exported = new ConcurrentHashMap<>();
  private final ScheduledExecutorService expiry;

  Prefill(EngineOptions options, EngineFaults faults, AllocationTable table) {
    this.options = options;
    this.faults = faults;
    this.table = table;
    this.expiry =
        Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().daemon().name("kv-expiry-" + options.name()).factory());
  }

  void handle(Context ctx, EngineCall call) throws InterruptedException {
    AllocationTable.Held entry = allocate(call, "prefill");
    try {
      if (!process(call, entry)) {
        throw new EngineError(499, "cancelled", "attempt " + call.attempt() + " was cancelled");
      }
    } finally {
      table.remove(entry);
    }
    export(call);
    ctx.json(answer(call).toString()).contentType("application/json");
  }

  /** Hands out a KV cache once; the memory is free afterwards. */
  void fetch(Context ctx) throws InterruptedException {
    String reference = ctx.pathParam("attempt");
    faults.awaitNoStall();
    byte[] cache = exported.remove(reference);
    if (cache == null || !table.cancel(reference)) {
      throw new EngineError(410, "kv_expired", "no KV cache for " + reference);
    }
    ctx.contentType("application/octet-stream").result(cache);
  }

  void stop() {
    expiry.shutdownNow();
  }

  private AllocationTable.Held allocate(EngineCall call, String kind) {
    AllocationTable.Held entry =
        table.add(
            new Allocation(
                call.attempt(),
                kind,
                call.owner(),
                call.incarnation(),
                EngineCall.pieces(call.promptTokens())));
    if (entry == null) {
      throw new EngineError(503, "engine_full", "no memory for " + call.promptTokens() + " tokens");
    }
    return entry;
  }

  private boolean process(EngineCall call, AllocationTable.Held entry) throws InterruptedException {
    processor.acquire();
    try {
      long nanos = call.promptTokens() * 1_000_000_000L / options.prefillTokensPerSecond();
      boolean cancelled = entry.cancelled().await(nanos, TimeUnit.NANOSECONDS);
      while (!cancelled && faults.stalled()) {
        cancelled = entry.cancelled().await(STALL_POLL_MILLIS, TimeUnit.MILLISECONDS);
      }
      return !cancelled;
    } finally {
      processor.release();
    }
  }

  private void export(EngineCall call) {
    AllocationTable.Held cache = allocate(call, "kv");
    exported.put(call.attempt(), KvCache.of(call.prompt(), kvBytes(call)));
    var unused =
        expiry.schedule(
            () -> {
              table.remove(cache);
              exported.remove(call.attempt());
            },
            options.kvLife().toNanos(),
            TimeUnit.NANOSECONDS);
  }

  private int kvBytes(EngineCall call) {
    return Math.max(Integer.BYTES, call.promptTokens() * options.kvBytesPerToken());
  }

  private ObjectNode answer(EngineCall call) {
    ObjectNode answer = Json.object();
    answer.put("id", call.attempt()).put("object", "text_completion");
    ObjectNode choice = answer.putArray("choices").addObject();
    choice.put("index", 0).put("text", "").put("finish_reason", "length");
    answer.putObject("usage").put("prompt_tokens", call.promptTokens());
    answer
        .putObject("kv_transfer_params")
        .put("remote_engine_id", options.name())
        .put("remote_request_id", call.attempt())
        .put("remote_bytes", kvBytes(call))
        .put("expires_ms", options.kvLife().toMillis());
    return answer;
  }
}
