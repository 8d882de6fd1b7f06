package org.mustardlatch.core.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.time.VirtualTimerService;

/**
 * Object service in virtual time whose calls and answers are delayed, lost, refused and applied
 * late. A client gives up after one second, but what it sent may still be applied.
 */
final class FakeStore {
  private static final Duration CLIENT_TIMEOUT = Duration.ofSeconds(1);

  private final VirtualTimerService time;
  private final RandomGenerator random;
  private final Map<Integer, Stored> objects = new HashMap<>();
  private long lastVersion;
  private long downUntil;
  private long slowUntil;
  private final Consumer<JsonNode> onApplied;
  private boolean faulty = true;

  record Stored(String version, @Nullable JsonNode content) {}

  FakeStore(VirtualTimerService time, RandomGenerator random, Consumer<JsonNode> onApplied) {
    this.onApplied = onApplied;
    this.time = time;
    this.random = random;
  }

  void goDown(Duration duration) {
    downUntil = time.nanos() + duration.toNanos();
  }

  void goSlow(Duration duration) {
    slowUntil = time.nanos() + duration.toNanos();
  }

  void heal() {
    faulty = false;
    downUntil = 0;
    slowUntil = 0;
  }

  Stored object(int shard) {
    return objects.getOrDefault(shard, new Stored("", null));
  }

  void read(int shard, Consumer<ShardEvent> result) {
    OneAnswer answer = new OneAnswer(result);
    time.schedule(CLIENT_TIMEOUT, () -> answer.give(new ShardEvent.ReadFailed()));
    time.schedule(
        delay(),
        () -> {
          Stored s = object(shard);
          if (isDown()) {
            answer.give(new ShardEvent.ReadFailed());
          } else if (!lost()) {
            time.schedule(
                delay(), () -> answer.give(new ShardEvent.ReadFinished(s.version, s.content)));
          }
        });
  }

  void write(int shard, String version, JsonNode content, Consumer<ShardEvent> result) {
    OneAnswer answer = new OneAnswer(result);
    if (isDown() && random.nextBoolean()) {
      time.schedule(delay(), () -> answer.give(new ShardEvent.WriteRefused(false, 0)));
      return;
    }
    time.schedule(CLIENT_TIMEOUT, () -> answer.give(new ShardEvent.WriteUnknown()));
    boolean late = faulty && random.nextInt(6) == 0;
    int lateMillis = random.nextBoolean() ? 6_000 : 90_000;
    Duration sendDelay = late ? Duration.ofMillis(random.nextInt(lateMillis)) : delay();
    time.schedule(sendDelay, () -> apply(shard, version, content, answer));
  }

  private void apply(int shard, String version, JsonNode content, OneAnswer answer) {
    if (isDown()) {
      return; // neither applied nor answered
    }
    boolean matches = object(shard).version.equals(version);
    if (matches) {
      objects.put(shard, new Stored(Long.toString(++lastVersion), content));
      onApplied.accept(content);
    }
    String stored = object(shard).version;
    if (!lost()) {
      time.schedule(
          delay(),
          () ->
              answer.give(
                  matches ? new ShardEvent.WriteStored(stored) : new ShardEvent.WriteConflicted()));
    }
  }

  private boolean isDown() {
    return time.nanos() < downUntil;
  }

  private boolean lost() {
    return faulty && random.nextInt(8) == 0;
  }

  private Duration delay() {
    int millis = time.nanos() < slowUntil ? 3_000 : 30;
    return Duration.ofMillis(1 + random.nextInt(millis));
  }

  /** Passes on the first answer only. */
  private static final class OneAnswer {
    private final Consumer<ShardEvent> result;
    private boolean given;

    OneAnswer(Consumer<ShardEvent> result) {
      this.result = result;
    }

    void give(ShardEvent event) {
      if (!given) {
        given = true;
        result.accept(event);
      }
    }
  }
}
