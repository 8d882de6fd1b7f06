package org.mustardlatch.gateway.store;

import java.util.List;

/** Hears what a watch of the store brings. */
public interface StoreListener<T> {
  /** All objects, after the start and after a gap in the history. */
  void listed(List<StoredEntry<T>> entries, List<String> unreadable);

  /** One change. */
  void changed(StoreResponse.Change<T> change);

  /** The store answers; called before what it brings. */
  void reachable(boolean afterOutage);

  /** The store does not answer. */
  void unreachable(String reason);
}
