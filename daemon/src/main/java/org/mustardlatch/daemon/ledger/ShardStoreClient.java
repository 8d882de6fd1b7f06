package org.mustardlatch.daemon.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.mustardlatch.core.ledger.LedgerKey;
import org.mustardlatch.core.ledger.ShardEvent;
import org.mustardlatch.core.ledger.ShardWriter;
import org.mustardlatch.daemon.node.EventLoop;
import org.mustardlatch.daemon.store.ObjectStoreClient;
import org.mustardlatch.daemon.store.ReadResult;
import org.mustardlatch.daemon.store.WriteResult;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;

/**
 * Reads and writes the ledger shards in the object service and reports the results as events on the
 * thread of the event loop. Failures of a shard are logged once until a read of it succeeds, which
 * is logged too.
 */
final class ShardStoreClient {
  private static final String KIND = "ledger";

  private final ObjectStoreClient store;
  private final EventLoop loop;
  private final Set<Integer> failingShards = new HashSet<>();

  ShardStoreClient(ObjectStoreClient store, EventLoop loop) {
    this.store = store;
    this.loop = loop;
  }

  void read(int shard, Consumer<ShardEvent> result) {
    runOnLoop(store.get(KIND, LedgerKey.shardName(shard)), r -> result.accept(toEvent(shard, r)));
  }

  void write(int shard, String version, JsonNode content, Consumer<ShardEvent> result) {
    runOnLoop(
        store.put(KIND, LedgerKey.shardName(shard), version, content),
        r -> result.accept(toEvent(shard, r)));
  }

  private <T> void runOnLoop(CompletableFuture<T> future, Consumer<T> action) {
    CompletableFuture<Void> unused =
        future.thenAccept(result -> loop.execute(() -> action.accept(result)));
  }

  private ShardEvent toEvent(int shard, ReadResult result) {
    return switch (result) {
      case ReadResult.Found f -> {
        if (!ShardWriter.canRead(f.object().spec())) {
          recordFailure(shard, "unsupported content format");
          yield new ShardEvent.ReadFailed();
        }
        recordSuccess(shard);
        yield new ShardEvent.ReadFinished(f.object().version(), f.object().spec());
      }
      case ReadResult.NotFound n -> {
        recordSuccess(shard);
        yield new ShardEvent.ReadFinished("", null);
      }
      case ReadResult.Failed f -> {
        recordFailure(shard, f.reason());
        yield new ShardEvent.ReadFailed();
      }
    };
  }

  private ShardEvent toEvent(int shard, WriteResult result) {
    return switch (result) {
      case WriteResult.Stored s -> new ShardEvent.WriteStored(s.version());
      case WriteResult.Conflict c -> new ShardEvent.WriteConflicted();
      case WriteResult.Refused r -> {
        recordFailure(shard, r.reason());
        yield new ShardEvent.WriteRefused(r.tooLarge(), r.retryAfter().toNanos());
      }
      case WriteResult.Unknown u -> {
        EventLog.log(LogEvent.LEDGER_WRITE_UNKNOWN, shard, u.reason());
        yield new ShardEvent.WriteUnknown();
      }
    };
  }

  private void recordFailure(int shard, String reason) {
    if (failingShards.add(shard)) {
      EventLog.log(LogEvent.LEDGER_STORE_FAILS, shard, reason);
    }
  }

  private void recordSuccess(int shard) {
    if (failingShards.remove(shard)) {
      EventLog.log(LogEvent.LEDGER_STORE_BACK, shard);
    }
  }
}
