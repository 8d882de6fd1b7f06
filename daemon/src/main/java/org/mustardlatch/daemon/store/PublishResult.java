package org.mustardlatch.daemon.store;

/** Result of publishing a manifest. */
public sealed interface PublishResult {
  /** The manifest is stored as this revision. */
  record Published(long revision) implements PublishResult {}

  /**
   * The latest revision is not the base revision; nothing was stored.
   *
   * @param latest the latest stored manifest
   */
  record Conflict(ManifestRevision latest) implements PublishResult {}

  /**
   * Nothing was stored, and no update is pending that could still be applied. The object service
   * could not be read or reached, or refused the update, or conflicting updates lasted until the
   * time limit.
   *
   * @param reason explanation for the operator
   */
  record Refused(String reason) implements PublishResult {}

  /**
   * The manifest may have been stored or may still be stored later. Publishing again with the same
   * base revision resolves the uncertainty.
   *
   * @param revision revision number of the manifest if it is stored
   * @param reason explanation for the operator
   */
  record Unknown(long revision, String reason) implements PublishResult {}
}
