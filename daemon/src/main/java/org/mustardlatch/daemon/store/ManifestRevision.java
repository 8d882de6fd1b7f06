package org.mustardlatch.daemon.store;

/**
 * Revision number and text of a published manifest.
 *
 * @param revision revision number, incremented by every publication; 0 if nothing was published yet
 * @param text manifest in TOML; empty for revision 0
 */
public record ManifestRevision(long revision, String text) {
  /** Placeholder for the state before the first publication. */
  public static final ManifestRevision NONE = new ManifestRevision(0, "");
}
