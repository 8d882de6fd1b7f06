package org.mustardlatch.daemon.node;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.error.MustardlatchException;
import org.mustardlatch.core.manifest.ManifestParser;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.core.time.TimerSubscription;
import org.mustardlatch.daemon.log.EventLog;
import org.mustardlatch.daemon.log.LogEvent;
import org.mustardlatch.daemon.store.ManifestRevision;
import org.mustardlatch.daemon.store.ManifestStore;
import org.mustardlatch.daemon.store.PublishResult;

/**
 * Brings manifests from the object service into force on this node and publishes new ones. The
 * object service is read at the start until it answers; while it is down the manifest in force
 * stays.
 */
public final class ManifestService implements ManifestPublisher {
  private static final Duration READ_RETRY = Duration.ofSeconds(1);
  private static final Duration SETTLE_TIME = Duration.ofSeconds(5);
  private static final Duration PUBLISH_BOUND = SETTLE_TIME.plusSeconds(5);

  private final ManifestStore store;
  private final ManifestInForce manifest;
  private final TimerService timers;
  private final CompletableFuture<Boolean> firstRead = new CompletableFuture<>();
  private volatile boolean stopped;
  private @Nullable TimerSubscription watch;

  /** Creates a service that is not started. */
  public ManifestService(ManifestStore store, ManifestInForce manifest, TimerService timers) {
    this.store = store;
    this.manifest = manifest;
    this.timers = timers;
  }

  /** Reads the manifest now and again until the object service has answered once. */
  public void start() {
    var unused =
        store
            .read()
            .thenAccept(
                found -> {
                  if (found.isPresent()) {
                    apply(found.get());
                    firstRead.complete(true);
                  } else if (!stopped) {
                    timers.schedule(READ_RETRY, this::start);
                  }
                });
  }

  /** Completes when the object service has told the latest manifest once. */
  public CompletableFuture<Boolean> firstRead() {
    return firstRead;
  }

  /** Holds a watch on the manifest, or gives it up; only a few nodes of a region hold one. */
  public synchronized void watch(boolean on) {
    if (on && watch == null && !stopped) {
      watch = store.watch(this::apply);
    } else if (!on && watch != null) {
      watch.cancel();
      watch = null;
    }
  }

  /** Ends the watch. */
  public void stop() {
    stopped = true;
    watch(false);
  }

  @Override
  public long publish(String text, long base) {
    ManifestParser.parse("manifest", text).orThrow(ErrorCode.MANIFEST_INVALID);
    PublishResult result = await(store.publish(base, text, SETTLE_TIME), base);
    return switch (result) {
      case PublishResult.Published p -> {
        apply(new ManifestRevision(p.revision(), text));
        yield p.revision();
      }
      case PublishResult.Conflict c -> {
        apply(c.other());
        throw new MustardlatchException(
            ErrorCode.MANIFEST_CONFLICT,
            "revision %d is the latest, not %d".formatted(c.other().revision(), base));
      }
      case PublishResult.Refused r ->
          throw new MustardlatchException(
              ErrorCode.STORE_UNAVAILABLE, "nothing was published: " + r.reason());
      case PublishResult.Unknown u ->
          throw new MustardlatchException(
              ErrorCode.MANIFEST_UNKNOWN,
              "revision %d may be published (%s); run \"mustardlatch status\""
                  .formatted(u.revision(), u.reason()));
    };
  }

  /** Brings a revision into force that came from the object service or a peer. */
  public void apply(ManifestRevision revision) {
    try {
      manifest.apply(revision.revision(), revision.text());
    } catch (MustardlatchException e) {
      EventLog.log(LogEvent.MANIFEST_REFUSED, String.valueOf(e.getMessage()));
    }
  }

  private static PublishResult await(CompletableFuture<PublishResult> result, long base) {
    try {
      return result.get(PUBLISH_BOUND.toMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException | ExecutionException | TimeoutException e) {
      return new PublishResult.Unknown(base + 1, e.toString());
    }
  }
}
