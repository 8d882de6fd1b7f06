package org.mustardlatch.gateway.store;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.time.VirtualTimerService;

/** Guards against changes of the store that a node misses or hears of too late. */
class StoreWatcherTest {
  private final VirtualTimerService timers = new VirtualTimerService();
  private final List<String> heard = new ArrayList<>();
  private final List<String> calls = new ArrayList<>();
  private Consumer<StoreAnswer<String>> answer = a -> {};
  private Duration longestWait = Duration.ZERO;

  @BeforeEach
  void start() {
    StoreReader<String> reader =
        new StoreReader<>() {
          @Override
          public void list(@Nullable String after, Consumer<StoreAnswer<String>> a) {
            calls.add("list " + after);
            answer = a;
          }

          @Override
          public void watch(long revision, Duration wait, Consumer<StoreAnswer<String>> a) {
            calls.add("watch " + revision);
            longestWait = wait;
            answer = a;
          }
        };
    StoreListener<String> listener =
        new StoreListener<>() {
          @Override
          public void listed(List<StoredEntry<String>> entries, List<String> unreadable) {
            heard.add("listed " + entries.stream().map(StoredEntry::name).toList());
          }

          @Override
          public void changed(StoreAnswer.Change<String> change) {
            heard.add(change.getClass().getSimpleName());
          }

          @Override
          public void reachable(boolean afterOutage) {
            heard.add("reachable " + afterOutage);
          }

          @Override
          public void unreachable(String reason) {
            heard.add("unreachable");
          }
        };
    new StoreWatcher<>(timers, reader, listener, new SplittableRandom(1)).start();
  }

  private static StoreAnswer.Page<String> page(@Nullable String after, String... names) {
    List<StoredEntry<String>> entries = new ArrayList<>();
    for (String n : names) {
      entries.add(new StoredEntry<>(n, n));
    }
    return new StoreAnswer.Page<>(entries, List.of(), after, 7);
  }

  @Test
  void joinsThePagesOfAListAndWatchesFromItsRevision() {
    answer.accept(page("b", "a", "b"));
    answer.accept(page(null, "c"));

    assertThat(heard).containsExactly("reachable false", "listed [a, b, c]").inOrder();
    assertThat(calls).containsExactly("list null", "list b", "watch 7").inOrder();
  }

  @Test
  void goesOnFromTheLastRevisionAfterAnOutage() {
    answer.accept(page(null, "a"));
    answer.accept(new StoreAnswer.Unavailable<>("status 503"));
    timers.advance(Duration.ofSeconds(1));
    answer.accept(new StoreAnswer.Changes<>(List.of(new StoreAnswer.Change.Removed<>("a")), 9));

    assertThat(heard)
        .containsExactly(
            "reachable false", "listed [a]", "unreachable", "reachable true", "Removed")
        .inOrder();
    assertThat(calls).containsExactly("list null", "watch 7", "watch 7", "watch 9").inOrder();
  }

  @Test
  void listsAgainWhenTheStoreHasForgottenTheHistory() {
    answer.accept(page(null, "a"));
    answer.accept(new StoreAnswer.HistoryGone<>());

    assertThat(calls).containsExactly("list null", "watch 7", "list null").inOrder();
  }

  @Test
  void asksAgainSoonEnoughToNoticeAPathThatHasGoneSilent() {
    answer.accept(page(null, "a"));

    // A new version must be in force 2.5 s after it is stored, and 4 s may pass after an outage.
    assertThat(longestWait).isAtMost(Duration.ofMillis(2_500));
  }
}
