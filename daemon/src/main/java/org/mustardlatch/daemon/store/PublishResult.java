package org.mustardlatch.daemon.store;

/** Result of publishing a manifest. */
public sealed interface PublishResult {
  /** The manifest is stored as this revision. */
  record Published(long revision) implements PublishResult {}

  /**
   * Another manifest was published meanwhile; nothing was stored.
   *
   * @param latest the manifest that is stored now
   */
  record Conflict(ManifestRevision latest) implements PublishResult {}

  /**
   * Nothing was stored and nothing will be.
   *
   * @param reason for the operator
   */
  record Refused(String reason) implements PublishResult {}

  /**
   * The manifest may be stored, now or later. Publishing again with the same base revision settles
   * it.
   *
   * @param revision the revision that it has if it is stored
   * @param reason for the operator
   */
  record Unknown(long revision, String reason) implements PublishResult {}
}
