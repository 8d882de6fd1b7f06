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

/** The manifest in force on this node. Only a higher revision replaces it, as a whole. */
public final class ActiveManifest {
  private final BehaviorProcessor<AppliedManifest> changes = BehaviorProcessor.create();

  /**
   * Puts a revision into force if it is higher than the current one.
   *
   * @return whether it is in force now because of this call
   * @throws MustardlatchException with {@link ErrorCode#MANIFEST_INVALID} when the text has errors
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

  /** Returns the manifest in force, or empty before the first. */
  public Optional<AppliedManifest> current() {
    return Optional.ofNullable(changes.getValue());
  }

  /** Returns the revision in force; 0 before the first. */
  public long revision() {
    return current().map(AppliedManifest::revision).orElse(0L);
  }

  /** Returns the manifest in force, then each that replaces it. */
  public Flowable<AppliedManifest> changes() {
    return changes.onBackpressureBuffer();
  }

  /**
   * Returns the manifest in force.
   *
   * @throws MustardlatchException with {@link ErrorCode#NOT_READY} before the first
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
