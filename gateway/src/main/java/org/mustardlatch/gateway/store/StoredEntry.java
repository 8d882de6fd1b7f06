package org.mustardlatch.gateway.store;

import org.jspecify.annotations.Nullable;

/**
 * A named object of the store with its decoded content.
 *
 * @param name name of the object
 * @param content decoded content of the object
 * @param revision revision of the store at the object's last change; 0 if not stated
 * @param source the object as {@link StoreCodec#decode} reads it; null unless the codec keeps it
 */
public record StoredEntry<T>(String name, T content, long revision, @Nullable String source) {
  /** Creates an entry without its source. */
  public StoredEntry(String name, T content, long revision) {
    this(name, content, revision, null);
  }
}
