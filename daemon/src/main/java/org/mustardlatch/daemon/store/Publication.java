package org.mustardlatch.daemon.store;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.mustardlatch.core.time.TimerService;

/**
 * Operation that publishes one manifest: a read, a conditional update, and a read back if the
 * response to the update is lost.
 *
 * <p>An update whose response was lost may still be applied as long as the version on which it is
 * conditional is the current one. A read that returns the old version therefore does not prove that
 * the update failed. The update is sent again, conditional on the same version: at most one of the
 * two can be applied, because it changes the version and makes the other one fail.
 */
final class Publication {
  private static final Duration RETRY_DELAY = Duration.ofMillis(100);

  private final ObjectStoreClient store;
  private final TimerService timers;
  private final long base;
  private final String text;
  private final String nonce;
  private final long deadlineNanos;

  /** Whether the response to an update was lost, so that the manifest may have been stored. */
  private volatile boolean outcomeAmbiguous;

  Publication(
      ObjectStoreClient store,
      TimerService timers,
      long base,
      String text,
      String nonce,
      long deadlineNanos) {
    this.store = store;
    this.timers = timers;
    this.base = base;
    this.text = text;
    this.nonce = nonce;
    this.deadlineNanos = deadlineNanos;
  }

  CompletableFuture<PublishResult> run() {
    return store
        .get("manifests", "current")
        .thenCompose(
            read ->
                switch (read) {
                  case ReadResult.Found f ->
                      checkAndWrite(f.object().version(), ManifestObject.parse(f.object().spec()));
                  case ReadResult.NotFound n -> checkAndWrite("", ManifestObject.EMPTY);
                  case ReadResult.Failed f ->
                      retryIfAmbiguous("object service can't be read: " + f.reason());
                });
  }

  private CompletableFuture<PublishResult> checkAndWrite(String version, ManifestObject found) {
    if (found.publisherNonces().contains(nonce)) {
      return completed(new PublishResult.Published(base + 1));
    }
    if (found.current().revision() != base) {
      return completed(new PublishResult.Conflict(found.current()));
    }
    return write(version, found);
  }

  private CompletableFuture<PublishResult> write(String version, ManifestObject found) {
    return store
        .put("manifests", "current", version, found.nextRevision(text, nonce).toSpec())
        .thenCompose(
            written ->
                switch (written) {
                  case WriteResult.Stored s -> completed(new PublishResult.Published(base + 1));
                  case WriteResult.Conflict c -> retry("conflicting update");
                  case WriteResult.Refused r -> retryIfAmbiguous("update refused: " + r.reason());
                  case WriteResult.Unknown u -> {
                    outcomeAmbiguous = true;
                    yield retry("answer to the update lost: " + u.reason());
                  }
                });
  }

  /** Retries if an earlier update may have been applied; otherwise returns a refusal. */
  private CompletableFuture<PublishResult> retryIfAmbiguous(String reason) {
    return outcomeAmbiguous ? retry(reason) : completed(new PublishResult.Refused(reason));
  }

  private CompletableFuture<PublishResult> retry(String reason) {
    if (timers.nanos() < deadlineNanos) {
      CompletableFuture<Boolean> paused = new CompletableFuture<>();
      timers.schedule(RETRY_DELAY, () -> paused.complete(true));
      return paused.thenCompose(p -> run());
    }
    return completed(
        outcomeAmbiguous
            ? new PublishResult.Unknown(base + 1, reason)
            : new PublishResult.Refused(reason));
  }

  private static CompletableFuture<PublishResult> completed(PublishResult result) {
    return CompletableFuture.completedFuture(result);
  }
}
