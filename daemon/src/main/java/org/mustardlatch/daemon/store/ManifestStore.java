package org.mustardlatch.daemon.store;

import java.time.Duration;
import java.util.HexFormat;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.core.time.TimerSubscription;

/** The object {@code manifests/current}, which holds the latest published manifest. */
public final class ManifestStore {
  private static final String KIND = "manifests";
  private static final String NAME = "current";

  private final ObjectStoreClient store;
  private final TimerService timers;
  private final RandomGenerator random;

  /**
   * Creates a view of the manifest object.
   *
   * @param store client of the object service
   * @param timers for the pauses between attempts to settle a lost answer
   * @param random names publications; must not repeat between processes, so use a secure one
   */
  public ManifestStore(ObjectStoreClient store, TimerService timers, RandomGenerator random) {
    this.store = store;
    this.timers = timers;
    this.random = random;
  }

  /**
   * Reads the latest manifest. The result is empty when the object service can't be read, and
   * revision 0 when nothing was published yet.
   */
  public CompletableFuture<Optional<ManifestRevision>> read() {
    return store
        .get(KIND, NAME)
        .thenApply(
            result ->
                switch (result) {
                  case ReadResult.Found f ->
                      Optional.of(ManifestObject.parse(f.object().spec()).current());
                  case ReadResult.NotFound n -> Optional.of(ManifestRevision.NONE);
                  case ReadResult.Failed f -> Optional.empty();
                });
  }

  /**
   * Watches the latest manifest until the subscription is cancelled; the listener must not block.
   */
  public TimerSubscription watch(Consumer<ManifestRevision> listener) {
    return store.watch(
        KIND, NAME, object -> listener.accept(ManifestObject.parse(object.spec()).current()));
  }

  /**
   * Publishes a manifest as revision {@code base + 1} if {@code base} is the latest one. An update
   * whose answer is lost is read back and written again on the version just read, for at most the
   * given time.
   *
   * @param base the revision that the operator's change was made from; 0 for the first one
   * @param text the checked text
   * @param settleTime how long a lost answer may take to settle, greater than zero
   */
  public CompletableFuture<PublishResult> publish(long base, String text, Duration settleTime) {
    if (base < 0) {
      throw new IllegalArgumentException("base revision must not be negative, got " + base);
    }
    byte[] nonce = new byte[16];
    random.nextBytes(nonce);
    long giveUpNanos = timers.nanos() + settleTime.toNanos();
    Publication publication =
        new Publication(store, timers, base, text, HexFormat.of().formatHex(nonce), giveUpNanos);
    return publication.run();
  }
}
