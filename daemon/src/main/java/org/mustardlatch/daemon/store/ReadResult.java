package org.mustardlatch.daemon.store;

/** Result of reading an object. */
public sealed interface ReadResult {
  /** The object exists. */
  record Found(StoredObject object) implements ReadResult {}

  /** The object service responded that the object does not exist. */
  record NotFound() implements ReadResult {}

  /**
   * The read failed, so it is unknown whether the object exists.
   *
   * @param reason explanation for the log
   */
  record Failed(String reason) implements ReadResult {}
}
