package org.mustardlatch.gateway.store;

import java.util.List;

/** Receives the objects and changes that a {@link StoreWatcher} reads from the store. */
public interface StoreListener<T> {
  /**
   * Called with all objects, at the start and after the store no longer had the history of changes.
   *
   * @param entries objects that could be decoded
   * @param unreadable names of objects whose content could not be decoded
   */
  void objectsListed(List<StoredEntry<T>> entries, List<String> unreadable);

  /** Called for each change, in order. */
  void objectChanged(StoreResponse.Change<T> change);

  /**
   * Called when the store has been restored from an earlier copy, before its objects are listed.
   * What was written since the copy was made is missing until its owners write it again.
   */
  void storeRestored();

  /**
   * Called when the store has become reachable, before the objects or changes that it returned.
   *
   * @param afterOutage whether the store was reachable before; false on the first contact
   */
  void storeReachable(boolean afterOutage);

  /** Called when the store has become unreachable. */
  void storeUnreachable(String reason);
}
