package org.mustardlatch.daemon.peer;

/** Decides whether a manifest that arrived can be used on this node, and puts it into force. */
@FunctionalInterface
public interface ManifestApplier {
  /**
   * Puts a revision into force as a whole, before it returns. Must not block.
   *
   * @return false when the text can't be used; the node then keeps the revision that it has
   */
  boolean apply(long revision, String text);
}
