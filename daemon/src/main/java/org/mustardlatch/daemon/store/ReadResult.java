package org.mustardlatch.daemon.store;

/** Result of reading an object. */
public sealed interface ReadResult {
  /** The object exists. */
  record Found(StoredObject object) implements ReadResult {}

  /** The object service answered that there is no such object. */
  record NotFound() implements ReadResult {}

  /**
   * Nothing is known about the object.
   *
   * @param reason for the log
   */
  record Failed(String reason) implements ReadResult {}
}
