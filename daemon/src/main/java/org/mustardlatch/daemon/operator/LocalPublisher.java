package org.mustardlatch.daemon.operator;

import org.mustardlatch.core.error.ErrorCode;
import org.mustardlatch.core.error.MustardlatchException;
import org.mustardlatch.daemon.node.ManifestInForce;

/** Puts manifests into force on this node alone. */
public final class LocalPublisher implements ManifestPublisher {
  private final ManifestInForce manifest;

  /** Creates a publisher for the given node. */
  public LocalPublisher(ManifestInForce manifest) {
    this.manifest = manifest;
  }

  @Override
  public synchronized long publish(String text, long base) {
    long current = manifest.revision();
    if (base != current) {
      throw new MustardlatchException(
          ErrorCode.MANIFEST_CONFLICT, "revision %d is in force, not %d".formatted(current, base));
    }
    manifest.apply(base + 1, text);
    return base + 1;
  }
}
