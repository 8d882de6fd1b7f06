package org.mustardlatch.daemon.node;

import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.error.MustardlatchException;

/** Publishes manifests on behalf of operators. */
@FunctionalInterface
public interface ManifestPublisher {
  /**
   * Publishes a manifest if the latest revision is {@code base}. Blocks until the outcome is known
   * or a timeout expires.
   *
   * @param text manifest in TOML
   * @param base revision that the manifest replaces; 0 for the first manifest
   * @return the new revision, applied by so many nodes that it can't be lost
   * @throws MustardlatchException with {@link ErrorCode#MANIFEST_INVALID}, {@link
   *     ErrorCode#MANIFEST_CONFLICT}, {@link ErrorCode#STORE_UNAVAILABLE} or {@link
   *     ErrorCode#MANIFEST_UNKNOWN}
   */
  long publish(String text, long base);
}
