package org.mustardlatch.gateway.store;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** The response of a store to a read. */
public sealed interface StoreResponse<T> {
  /**
   * A page of a list.
   *
   * @param entries objects that could be decoded
   * @param unreadable names of objects whose content could not be decoded
   * @param nextPageAfter name after which the next page starts; null on the last page
   * @param revision revision of the store at the time of the read
   */
  record Page<T>(
      List<StoredEntry<T>> entries,
      List<String> unreadable,
      @Nullable String nextPageAfter,
      long revision)
      implements StoreResponse<T> {}

  /**
   * Changes in the order in which they were made; empty if a watch ended without any.
   *
   * @param revision revision from which the next watch starts
   */
  record Changes<T>(List<Change<T>> changes, long revision) implements StoreResponse<T> {}

  /** The store no longer has the history that a watch requested. */
  record HistoryExpired<T>() implements StoreResponse<T> {}

  /**
   * The changes since the revision that a watch requested are more than a node keeps; a list is
   * shorter, as it has each object once.
   */
  record ChangesTooLong<T>() implements StoreResponse<T> {}

  /**
   * The store has been restored from an earlier copy since the last response. Its revisions are
   * given out again, so that those of earlier responses say nothing any more.
   */
  record Restored<T>() implements StoreResponse<T> {}

  /** The store did not respond, refused the read, or sent an unreadable response. */
  record Unavailable<T>(String reason) implements StoreResponse<T> {}

  /** A change of one object. */
  sealed interface Change<T> {
    /** Returns the name of the object. */
    String name();

    /**
     * Returns the revision of the store at this change; 0 if not stated. That of a removal may be
     * the one of the object's last change before it.
     */
    long revision();

    /** An object was created or replaced. */
    record Put<T>(StoredEntry<T> entry) implements Change<T> {
      @Override
      public String name() {
        return entry.name();
      }

      @Override
      public long revision() {
        return entry.revision();
      }
    }

    /** An object was created or replaced with content that could not be decoded. */
    record Unreadable<T>(String name, long revision) implements Change<T> {}

    /** An object was removed. */
    record Removed<T>(String name, long revision) implements Change<T> {}
  }
}
