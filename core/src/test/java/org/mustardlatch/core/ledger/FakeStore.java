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
 * Object service in virtual time that delays, loses and refuses calls and responses and applies
 * writes late. A call times out after one second, but its write may still be applied afterwards.
 */
final class FakeStore {
  private static final Duration CLIENT_TIMEOUT = Duration.ofSeconds(1);

  private final VirtualTimerService time;
  private final RandomGenerator random;
  private final Map<Integer, StoredObject> objects = new HashMap<>();
  private long lastVersion;
  private long downUntilNanos;
  private long slowUntilNanos;
  private final Consumer<JsonNode> onApplied;
  private boolean faulty = true;

  record StoredObject(String version, @Nullable JsonNode content) {}

  FakeStore(VirtualTimerService time, RandomGenerator random, Consumer<JsonNode> onApplied) {
    this.onApplied = onApplied;
    this.time = time;
    this.random = random;
  }

  void startOutage(Duration duration) {
    downUntilNanos = time.nanos() + duration.toNanos();
  }

  void startSlowdown(Duration duration) {
    slowUntilNanos = time.nanos() + duration.toNanos();
  }

  void stopFaults() {
    faulty = false;
    downUntilNanos = 0;
    slowUntilNanos = 0;
  }

  StoredObject object(int shard) {
    return objects.getOrDefault(shard, new StoredObject("", null));
  }

  void read(int shard, Consumer<ShardEvent> result) {
    FirstResponse response = new FirstResponse(result);
    time.schedule(CLIENT_TIMEOUT, () -> response.deliver(new ShardEvent.ReadFailed()));
    time.schedule(
        delay(),
        () -> {
          StoredObject s = object(shard);
          if (isDown()) {
            response.deliver(new ShardEvent.ReadFailed());
          } else if (!shouldLoseResponse()) {
            time.schedule(
                delay(), () -> response.deliver(new ShardEvent.ReadFinished(s.version, s.content)));
          }
        });
  }

  void write(int shard, String version, JsonNode content, Consumer<ShardEvent> result) {
    FirstResponse response = new FirstResponse(result);
    if (isDown() && random.nextBoolean()) {
      time.schedule(delay(), () -> response.deliver(new ShardEvent.WriteRefused(false, 0)));
      return;
    }
    time.schedule(CLIENT_TIMEOUT, () -> response.deliver(new ShardEvent.WriteUnknown()));
    boolean late = faulty && random.nextInt(6) == 0;
    int maxLateMillis = random.nextBoolean() ? 6_000 : 90_000;
    Duration sendDelay = late ? Duration.ofMillis(random.nextInt(maxLateMillis)) : delay();
    time.schedule(sendDelay, () -> apply(shard, version, content, response));
  }

  private void apply(int shard, String version, JsonNode content, FirstResponse response) {
    if (isDown()) {
      return; // the write is neither applied nor gets a response
    }
    boolean versionMatches = object(shard).version.equals(version);
    if (versionMatches) {
      objects.put(shard, new StoredObject(Long.toString(++lastVersion), content));
      onApplied.accept(content);
    }
    String currentVersion = object(shard).version;
    if (!shouldLoseResponse()) {
      time.schedule(
          delay(),
          () ->
              response.deliver(
                  versionMatches
                      ? new ShardEvent.WriteStored(currentVersion)
                      : new ShardEvent.WriteConflicted()));
    }
  }

  private boolean isDown() {
    return time.nanos() < downUntilNanos;
  }

  private boolean shouldLoseResponse() {
    return faulty && random.nextInt(8) == 0;
  }

  private Duration delay() {
    int millis = time.nanos() < slowUntilNanos ? 3_000 : 30;
    return Duration.ofMillis(1 + random.nextInt(millis));
  }

  /** Delivers only the first of several responses to a call. */
  private static final class FirstResponse {
    private final Consumer<ShardEvent> result;
    private boolean delivered;

    FirstResponse(Consumer<ShardEvent> result) {
      this.result = result;
    }

    void deliver(ShardEvent event) {
      if (!delivered) {
        delivered = true;
        result.accept(event);
      }
    }
  }
}
