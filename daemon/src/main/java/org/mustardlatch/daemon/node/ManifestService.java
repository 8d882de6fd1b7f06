package org.mustardlatch.daemon.node;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.error.MustardlatchException;
import org.mustardlatch.core.error.ParseResult;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.manifest.ManifestDiff;
import org.mustardlatch.core.manifest.ManifestParser;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.core.time.TimerSubscription;
import org.mustardlatch.daemon.peer.PeerService;
import org.mustardlatch.daemon.peer.PeerServiceListener;
import org.mustardlatch.daemon.store.ManifestRevision;
import org.mustardlatch.daemon.store.ManifestStore;
import org.mustardlatch.daemon.store.PublishResult;

/**
 * Forwards manifests from the object service to the peer service, which applies them on this node
 * and distributes them to the other nodes, and publishes new manifests. At startup the object
 * service is read until a read succeeds. While the object service is unavailable, the active
 * manifest stays active.
 */
public final class ManifestService implements ManifestPublisher, PeerServiceListener {
  private static final Duration READ_RETRY_DELAY = Duration.ofSeconds(1);
  private static final Duration RESOLVE_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration STORE_TIMEOUT = RESOLVE_TIMEOUT.plusSeconds(5);

  /** Twice the limit of 4 s within which a manifest must be active on all nodes. */
  private static final Duration ACCEPT_TIMEOUT = Duration.ofSeconds(8);

  private final ManifestStore manifestStore;
  private final PeerService peers;
  private final TimerService timers;
  private final RevisionLatch acceptedRevision = new RevisionLatch();
  private boolean stopped;
  private @Nullable TimerSubscription watch;

  /** Creates a service that is not started, and registers it as a listener of the peer service. */
  public ManifestService(ManifestStore manifestStore, PeerService peers, TimerService timers) {
    this.manifestStore = manifestStore;
    this.peers = peers;
    this.timers = timers;
    peers.addListener(this);
  }

  /** Reads the manifest from the object service and retries until one read has succeeded. */
  public synchronized void start() {
    if (stopped) {
      return;
    }
    var unused =
        manifestStore
            .read()
            .thenAccept(
                found ->
                    found.ifPresentOrElse(
                        this::reportStored, () -> timers.schedule(READ_RETRY_DELAY, this::start)));
  }

  @Override
  public synchronized void watchManifest(boolean enabled) {
    if (enabled && watch == null && !stopped) {
      watch = manifestStore.watch(this::reportStored);
    } else if (!enabled && watch != null) {
      watch.cancel();
      watch = null;
    }
  }

  /** Cancels the watch and stops retrying reads. */
  public synchronized void stop() {
    stopped = true;
    watchManifest(false);
  }

  @Override
  public void manifestAccepted(long revision) {
    acceptedRevision.advanceTo(revision);
  }

  @Override
  public long publish(String text, long base) {
    Manifest submitted = ManifestParser.parse("manifest", text).orThrow(ErrorCode.MANIFEST_INVALID);
    PublishResult result = await(manifestStore.publish(base, text, RESOLVE_TIMEOUT), base);
    return switch (result) {
      case PublishResult.Published p -> distribute(p.revision(), text);
      case PublishResult.Conflict c -> {
        reportStored(c.latest());
        throw new MustardlatchException(
            ErrorCode.MANIFEST_CONFLICT,
            "revision %d is the latest, not %d; %s"
                .formatted(
                    c.latest().revision(), base, describeDifference(c.latest().text(), submitted)));
      }
      case PublishResult.Refused r ->
          throw new MustardlatchException(
              ErrorCode.STORE_UNAVAILABLE, "nothing was published: " + r.reason());
      case PublishResult.Unknown u -> throw outcomeUnknown(u.revision(), u.reason());
    };
  }

  private long distribute(long revision, String text) {
    peers.manifestPublished(revision, text);
    if (!acceptedRevision.await(revision, ACCEPT_TIMEOUT)) {
      throw outcomeUnknown(revision, "it is stored, but too few nodes have it in force");
    }
    return revision;
  }

  private void reportStored(ManifestRevision revision) {
    peers.manifestStored(revision.revision(), revision.text());
  }

  private static String describeDifference(String latestText, Manifest submitted) {
    ParseResult<Manifest> result = ManifestParser.parse("latest", latestText);
    if (!result.isValid()) {
      return "it can't be read";
    }
    Manifest latest = result.orThrow(ErrorCode.MANIFEST_INVALID);
    List<ManifestDiff.Change> changes = ManifestDiff.compare(latest, submitted).changes();
    if (changes.isEmpty()) {
      return "it already has the content of the offered manifest";
    }
    return changes.stream()
        .map(ManifestDiff.Change::toString)
        .collect(Collectors.joining("\n", "the offered manifest differs from it by:\n", ""));
  }

  private static MustardlatchException outcomeUnknown(long revision, String reason) {
    return new MustardlatchException(
        ErrorCode.MANIFEST_UNKNOWN,
        "revision %d may be published (%s); run \"mustardlatch status\""
            .formatted(revision, reason));
  }

  private static PublishResult await(CompletableFuture<PublishResult> result, long base) {
    try {
      return result.get(STORE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException | ExecutionException | TimeoutException e) {
      return new PublishResult.Unknown(base + 1, e.toString());
    }
  }
}
