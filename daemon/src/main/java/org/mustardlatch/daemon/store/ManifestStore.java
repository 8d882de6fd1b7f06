package org.mustardlatch.daemon.store;

import java.time.Duration;
import java.util.HexFormat;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.core.time.TimerSubscription;

/**
 * Reads, watches and updates the latest manifest, stored in the object {@code manifests/current}.
 */
public final class ManifestStore {
  private static final String KIND = "manifests";
  private static final String NAME = "current";

  private final ObjectStoreClient store;
  private final TimerService timers;
  private final RandomGenerator random;

  /**
   * Creates a store on top of the object service.
   *
   * @param store client of the object service
   * @param timers clock and scheduler of the retries of a publication
   * @param random source of the nonces that identify publications; use a secure generator, since
   *     nonces must be unique across processes
   */
  public ManifestStore(ObjectStoreClient store, TimerService timers, RandomGenerator random) {
    this.store = store;
    this.timers = timers;
    this.random = random;
  }

  /**
   * Reads the latest manifest. The result is empty if the object service can't be read, and
   * revision 0 ({@link ManifestRevision#NONE}) if nothing was published yet.
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
   * Watches the latest manifest until the subscription is cancelled.
   *
   * @param listener called with the current manifest and after each change; must not block
   */
  public TimerSubscription watch(Consumer<ManifestRevision> listener) {
    return store.watch(
        KIND, NAME, object -> listener.accept(ManifestObject.parse(object.spec()).current()));
  }

  /**
   * Publishes a manifest as revision {@code base + 1} if {@code base} is the latest revision. After
   * an update whose response was lost, the object is read back and, if necessary, updated again on
   * condition that the version just read is still the current one. This repeats until the outcome
   * is known or the time limit has passed.
   *
   * @param base revision from which the operator's change was made; 0 for the first manifest
   * @param text validated manifest in TOML
   * @param resolveTimeout time limit for retries after a lost response or a conflicting update,
   *     greater than zero
   */
  public CompletableFuture<PublishResult> publish(long base, String text, Duration resolveTimeout) {
    if (base < 0) {
      throw new IllegalArgumentException("base revision must not be negative, got " + base);
    }
    byte[] nonce = new byte[16];
    random.nextBytes(nonce);
    long deadlineNanos = timers.nanos() + resolveTimeout.toNanos();
    Publication publication =
        new Publication(store, timers, base, text, HexFormat.of().formatHex(nonce), deadlineNanos);
    return publication.run();
  }
}
