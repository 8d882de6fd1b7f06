package org.mustardlatch.gateway.store;

import java.util.List;

/** Receives the objects and changes that a {@link StoreWatcher} reads from the store. */
public interface StoreListener<T> {
  /** Called with all objects, at the start and after a gap in the history. */
  void objectsListed(List<StoredEntry<T>> entries, List<String> unreadable);

  /** Called for each change, in order. */
  void objectChanged(StoreResponse.Change<T> change);

  /** Called when the store has become reachable, before the objects or changes that it returned. */
  void storeReachable(boolean afterOutage);

  /** Called when the store has become unreachable. */
  void storeUnreachable(String reason);
}
