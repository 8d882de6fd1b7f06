package org.mustardlatch.daemon.node;

import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.error.MustardlatchException;

/** Publishes manifests for operators. */
@FunctionalInterface
public interface ManifestPublisher {
  /**
   * Publishes a manifest on top of a base revision.
   *
   * @param text TOML text
   * @param base the revision that it replaces; 0 for the first
   * @return the new revision, accepted
   * @throws MustardlatchException with {@link ErrorCode#MANIFEST_INVALID}, {@link
   *     ErrorCode#MANIFEST_CONFLICT}, {@link ErrorCode#STORE_UNAVAILABLE} or {@link
   *     ErrorCode#MANIFEST_UNKNOWN}
   */
  long publish(String text, long base);
}
