package org.mustardlatch.daemon.ledger;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.mustardlatch.core.ledger.LedgerKey;
import org.mustardlatch.core.ledger.LedgerLimits;
import org.mustardlatch.core.ledger.ShardCommand;
import org.mustardlatch.core.ledger.ShardEvent;
import org.mustardlatch.core.ledger.ShardWriter;
import org.mustardlatch.core.time.TimerSubscription;
import org.mustardlatch.daemon.log.EventLog;
import org.mustardlatch.daemon.log.LogEvent;
import org.mustardlatch.daemon.node.EventLoop;
import org.mustardlatch.daemon.store.ObjectStoreClient;
import org.mustardlatch.daemon.store.ReadResult;
import org.mustardlatch.daemon.store.WriteResult;

/**
 * Runs the writer of one shard against the object service. All methods run on the loop's thread.
 */
final class ShardRunner {
  private static final String KIND = "ledger";

  private final String name;
  private final ShardWriter writer;
  private final ObjectStoreClient store;
  private final EventLoop loop;
  private final LongSupplier wallSeconds;
  private final Consumer<ShardCommand> answers;
  private TimerSubscription wake = () -> {};
  private long lastUsedNanos;
  private boolean storeFails;

  /**
   * Creates a runner.
   *
   * @param answers receives the commands that answer requests
   */
  ShardRunner(
      int shard,
      LedgerLimits limits,
      ObjectStoreClient store,
      EventLoop loop,
      LongSupplier wallSeconds,
      Consumer<ShardCommand> answers) {
    name = LedgerKey.shardName(shard);
    writer = new ShardWriter(limits);
    this.store = store;
    this.loop = loop;
    this.wallSeconds = wallSeconds;
    this.answers = answers;
  }

  void handle(ShardEvent event) {
    lastUsedNanos = loop.nanos();
    // The writer must have ended its turn before an answer leads to the next event for it.
    List<ShardCommand> commands = new ArrayList<>();
    writer.handle(event, lastUsedNanos, wallSeconds.getAsLong(), commands::add);
    commands.forEach(this::execute);
  }

  boolean idle() {
    return writer.idle();
  }

  /** Returns whether the runner holds nothing but content that can be read again. */
  boolean unusedFor(Duration time) {
    return writer.idle() && loop.nanos() - lastUsedNanos > time.toNanos();
  }

  private void execute(ShardCommand command) {
    switch (command) {
      case ShardCommand.Read r ->
          whenDone(store.get(KIND, name), result -> handle(toEvent(result)));
      case ShardCommand.Write w ->
          whenDone(
              store.put(KIND, name, w.version(), w.content()), result -> handle(toEvent(result)));
      case ShardCommand.WakeAt w -> {
        wake.cancel();
        wake =
            loop.schedule(
                Duration.ofNanos(w.atNanos() - loop.nanos()), () -> handle(new ShardEvent.Woken()));
      }
      case ShardCommand.StartAnswer a -> answers.accept(a);
      case ShardCommand.CancelAnswer a -> answers.accept(a);
      case ShardCommand.FinishAnswer a -> answers.accept(a);
    }
  }

  private <T> void whenDone(CompletableFuture<T> future, Consumer<T> action) {
    CompletableFuture<Void> unused =
        future.thenAccept(result -> loop.execute(() -> action.accept(result)));
  }

  private ShardEvent toEvent(ReadResult result) {
    return switch (result) {
      case ReadResult.Found f -> {
        logStore(false, "");
        yield new ShardEvent.ReadFinished(f.object().version(), f.object().spec());
      }
      case ReadResult.NotFound n -> {
        logStore(false, "");
        yield new ShardEvent.ReadFinished("", null);
      }
      case ReadResult.Failed f -> {
        logStore(true, f.reason());
        yield new ShardEvent.ReadFailed();
      }
    };
  }

  private ShardEvent toEvent(WriteResult result) {
    return switch (result) {
      case WriteResult.Stored s -> new ShardEvent.WriteStored(s.version());
      case WriteResult.Conflict c -> new ShardEvent.WriteConflicted();
      case WriteResult.Refused r -> {
        logStore(true, r.reason());
        yield new ShardEvent.WriteRefused(r.tooLarge(), r.retryAfter().toNanos());
      }
      case WriteResult.Unknown u -> {
        EventLog.log(LogEvent.LEDGER_WRITE_UNKNOWN, name, u.reason());
        yield new ShardEvent.WriteUnknown();
      }
    };
  }

  private void logStore(boolean fails, String reason) {
    if (fails && !storeFails) {
      EventLog.log(LogEvent.LEDGER_STORE_FAILS, name, reason);
    } else if (!fails && storeFails) {
      EventLog.log(LogEvent.LEDGER_STORE_BACK, name);
    }
    storeFails = fails;
  }
}
