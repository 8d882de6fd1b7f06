package org.mustardlatch.daemon.store;

/**
 * A published manifest.
 *
 * @param revision grows by one with every publication; 0 means that nothing was published yet
 * @param text text in TOML; empty for revision 0
 */
public record ManifestRevision(long revision, String text) {
  /** Nothing was published yet. */
  public static final ManifestRevision NONE = new ManifestRevision(0, "");
}
