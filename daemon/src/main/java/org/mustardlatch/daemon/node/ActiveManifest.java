package org.mustardlatch.daemon.node;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.processors.BehaviorProcessor;
import java.util.Optional;
import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.error.MustardlatchException;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.manifest.ManifestParser;
import org.mustardlatch.gateway.log.EventLog;
import org.mustardlatch.gateway.log.LogEvent;

/**
 * Holds the active manifest of this node. It is replaced atomically and only by a higher revision.
 */
public final class ActiveManifest {
  private final BehaviorProcessor<AppliedManifest> changes = BehaviorProcessor.create();

  /**
   * Activates a revision if it is higher than the active one.
   *
   * @return whether this call activated the revision
   * @throws MustardlatchException with {@link ErrorCode#MANIFEST_INVALID} if the text is invalid
   */
  public synchronized boolean apply(long revision, String text) {
    if (revision <= revision()) {
      return false;
    }
    Manifest manifest = ManifestParser.parse("manifest", text).orThrow(ErrorCode.MANIFEST_INVALID);
    AppliedManifest applied = AppliedManifest.of(revision, text, manifest);
    changes.onNext(applied);
    EventLog.log(LogEvent.MANIFEST_APPLIED, revision, applied.digest());
    return true;
  }

  /** Returns the active manifest, or empty if no revision was activated yet. */
  public Optional<AppliedManifest> current() {
    return Optional.ofNullable(changes.getValue());
  }

  /** Returns the active revision; 0 if no revision was activated yet. */
  public long revision() {
    return current().map(AppliedManifest::revision).orElse(0L);
  }

  /** Returns a stream of the active manifest, if any, followed by each later one. */
  public Flowable<AppliedManifest> changes() {
    return changes.onBackpressureBuffer();
  }

  /**
   * Returns the active manifest.
   *
   * @throws MustardlatchException with {@link ErrorCode#NOT_READY} if no revision was activated yet
   */
  public Manifest currentOrThrow() {
    return current()
        .map(AppliedManifest::manifest)
        .orElseThrow(
            () ->
                new MustardlatchException(
                    ErrorCode.NOT_READY, "not run: no manifest is in force on this node yet"));
  }
}
