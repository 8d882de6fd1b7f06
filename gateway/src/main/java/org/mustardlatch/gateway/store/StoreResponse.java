package org.mustardlatch.gateway.store;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** What a store answers to a read. */
public sealed interface StoreResponse<T> {
  /**
   * A page of a list.
   *
   * @param entries readable objects
   * @param unreadable names of objects whose content can't be used
   * @param nextPageAfter where the next page starts; null on the last one
   * @param revision revision of the store
   */
  record Page<T>(
      List<StoredEntry<T>> entries, List<String> unreadable, @Nullable String nextPageAfter, long revision)
      implements StoreResponse<T> {}

  /**
   * Changes in the order in which they were made; empty when a watch ended without any.
   *
   * @param revision where the next watch starts
   */
  record Changes<T>(List<Change<T>> changes, long revision) implements StoreResponse<T> {}

  /** The store has forgotten the history that a watch asked for. */
  record HistoryExpired<T>() implements StoreResponse<T> {}

  /** The store did not answer, or refused. */
  record Unavailable<T>(String reason) implements StoreResponse<T> {}

  /** A change of one object. */
  sealed interface Change<T> {
    /** An object was created or replaced. */
    record Put<T>(StoredEntry<T> entry) implements Change<T> {}

    /** An object was replaced by content that can't be used. */
    record Unreadable<T>(String name) implements Change<T> {}

    /** An object was removed. */
    record Removed<T>(String name) implements Change<T> {}
  }
}
