package org.mustardlatch.daemon.peer;

/**
 * Validates a manifest received from a peer or the object service and activates it on this node.
 */
@FunctionalInterface
public interface ManifestApplier {
  /**
   * Activates a revision atomically before returning, unless the active revision is the same or
   * higher. Must not block.
   *
   * @return false if the text is invalid; the active revision then stays active
   */
  boolean apply(long revision, String text);
}
