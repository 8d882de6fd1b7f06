package org.mustardlatch.core.ledger;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.model.WorkspaceId;

/**
 * Guards against writes above the rate limit of a shard, against starts that are accepted although
 * the shard has no space for their finish records, and against cancel responses while a write with
 * an unknown result may still store the start record.
 */
class ShardWriterTest {
  private static final long NOW_SECONDS = 1_800_000_000L;
  private static final long SECOND = Duration.ofSeconds(1).toNanos();

  private final List<ShardCommand> commands = new ArrayList<>();
  private int lastVersion;

  @Test
  void writesAfterTheBurstKeepToTheRateLimitOfTheShard() {
    ShardWriter writer = new ShardWriter(LedgerLimits.of(Duration.ofHours(24), 256));
    handle(writer, new ShardEvent.StartRequested(attempt(0)), 0);
    handle(writer, new ShardEvent.ReadFinished("", null), 0);
    int writes = 0;
    for (int i = 1; i <= 100; i++) { // ten seconds at one write per second
      long now = i * SECOND / 10;
      if (lastIsWrite()) {
        writes++;
        handle(writer, new ShardEvent.WriteStored("v" + lastVersion++), now);
      }
      handle(writer, new ShardEvent.StartRequested(attempt(i)), now);
      handle(writer, new ShardEvent.TimerFired(), now);
    }
    assertThat(writes).isAtLeast(12);
    assertThat(writes).isAtMost(14);
  }

  @Test
  void fullShardRefusesStartsAndStillStoresFinishes() {
    ShardWriter writer =
        new ShardWriter(new LedgerLimits(Duration.ofHours(24), 256_000, 1_200, 100));
    handle(writer, new ShardEvent.StartRequested(attempt(0)), 0);
    handle(writer, new ShardEvent.ReadFinished("", null), 0);
    handle(writer, new ShardEvent.WriteStored("1"), 0);
    handle(writer, new ShardEvent.StartRequested(attempt(1)), 0);
    handle(writer, new ShardEvent.WriteStored("2"), 0);
    commands.clear();
    handle(writer, new ShardEvent.StartRequested(attempt(2)), 0);
    ShardCommand.StartResponse refusal = (ShardCommand.StartResponse) commands.get(0);
    assertThat(((StartResult.NotStarted) refusal.result()).code())
        .isEqualTo(ErrorCode.STORE_UNAVAILABLE);
    commands.clear();
    Attempt first = attempt(0);
    handle(
        writer,
        new ShardEvent.FinishRequested(
            first.key(), first.nonce(), RecordState.FINISHED, 200, "x".repeat(1_400)),
        0);
    handle(writer, new ShardEvent.WriteStored("3"), 0);
    assertThat(commands)
        .contains(new ShardCommand.FinishResponse(first.key(), first.nonce(), true));
  }

  @Test
  void cancelResponseWaitsForAWriteOnTheVersionOfTheUnknownWrite() {
    ShardWriter writer = new ShardWriter(LedgerLimits.of(Duration.ofHours(24), 256));
    handle(writer, new ShardEvent.StartRequested(attempt(0)), 0);
    handle(writer, new ShardEvent.ReadFinished("", null), 0);
    handle(writer, new ShardEvent.WriteUnknown(), 0);
    handle(writer, new ShardEvent.CancelRequested(attempt(0), false), 0);
    handle(writer, new ShardEvent.ReadFinished("", null), 0);
    assertThat(lastIsWrite()).isTrue();
    assertThat(responses()).isEmpty();
    handle(writer, new ShardEvent.WriteStored("1"), 0);
    handle(writer, new ShardEvent.ReadFinished("1", null), 0);
    assertThat(responses()).containsExactly(new ShardCommand.CancelResponse(attempt(0)));
  }

  private void handle(ShardWriter writer, ShardEvent event, long nowNanos) {
    writer.handle(event, nowNanos, NOW_SECONDS, commands::add);
  }

  private boolean lastIsWrite() {
    return commands.get(commands.size() - 1) instanceof ShardCommand.Write;
  }

  private List<ShardCommand> responses() {
    return commands.stream()
        .filter(
            c ->
                c instanceof ShardCommand.StartResponse || c instanceof ShardCommand.CancelResponse)
        .toList();
  }

  private static Attempt attempt(int number) {
    return new Attempt(
        LedgerKey.of(new WorkspaceId("w"), "k" + number),
        "d",
        String.format("%032x", number),
        "h",
        1);
  }
}
