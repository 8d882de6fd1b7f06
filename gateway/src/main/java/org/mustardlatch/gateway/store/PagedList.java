package org.mustardlatch.gateway.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.gateway.store.StoreResponse.Change;

/**
 * A list of objects that is read in pages, each of which shows the store at a later revision than
 * the one before. What changed between two pages is only in the history since the first page, which
 * also repeats changes that later pages already show.
 */
final class PagedList<T> {
  private final List<StoredEntry<T>> entries = new ArrayList<>();
  private final List<String> unreadable = new ArrayList<>();

  /** Revision of each page but the last, by the name of its last object. */
  private final TreeMap<String, Long> pageRevisions = new TreeMap<>();

  /** The revision of each listed object; 0 once its listed change has been passed. */
  private final Map<String, Long> listedRevisions = new HashMap<>();

  private @Nullable Long firstRevision;
  private long lastRevision;
  private @Nullable String nextPageAfter;

  /** Adds the next page. */
  void add(StoreResponse.Page<T> page) {
    firstRevision = firstRevision == null ? page.revision() : firstRevision;
    lastRevision = page.revision();
    nextPageAfter = page.nextPageAfter();
    entries.addAll(page.entries());
    unreadable.addAll(page.unreadable());
    if (nextPageAfter != null) {
      pageRevisions.put(nextPageAfter, page.revision());
    }
    page.entries().forEach(e -> listedRevisions.put(e.name(), e.revision()));
  }

  /** Returns the name after which the next page starts; null at the start and after the end. */
  @Nullable String nextPageAfter() {
    return nextPageAfter;
  }

  /** Returns whether the last page has been added. */
  boolean isComplete() {
    return firstRevision != null && nextPageAfter == null;
  }

  /** Returns the objects that could be decoded. */
  List<StoredEntry<T>> entries() {
    return List.copyOf(entries);
  }

  /** Returns the names of the objects that could not be decoded. */
  List<String> unreadable() {
    return List.copyOf(unreadable);
  }

  /** Returns the revision of the first page, from which the changes since then are watched. */
  long watchRevision() {
    if (firstRevision == null) {
      throw new IllegalStateException("no page has been added");
    }
    return firstRevision;
  }

  /** Returns whether all changes up to a revision include all that the list shows. */
  boolean isCoveredBy(long revision) {
    return revision >= lastRevision;
  }

  /**
   * Returns whether the list shows the object as it was after the given change. The changes since
   * {@link #watchRevision} have to be passed once each, in order.
   */
  boolean isNewerThan(Change<T> change) {
    Long listed = listedRevisions.get(change.name());
    return listed == null ? omits(change) : isOlder(change, listed);
  }

  /** Returns whether the page that would show the object is newer than its creation. */
  private boolean omits(Change<T> change) {
    Map.Entry<String, Long> page = pageRevisions.ceilingEntry(change.name());
    long pageRevision = page == null ? lastRevision : page.getValue();
    boolean removal = change instanceof Change.Removed<T>;
    return !removal && change.revision() != 0 && change.revision() <= pageRevision;
  }

  private boolean isOlder(Change<T> change, long listed) {
    if (change instanceof Change.Removed<T>) {
      // A removal may state the revision of the change before it. It was before the listed change
      // if that came after the first page, and has not been passed.
      return listed > watchRevision();
    }
    boolean older = change.revision() != 0 && change.revision() < listed;
    if (!older && change.revision() != 0) {
      listedRevisions.put(change.name(), 0L);
    }
    return older;
  }
}
