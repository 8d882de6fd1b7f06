package org.mustardlatch.gateway.store;

/**
 * A named object of the store with its decoded content.
 *
 * @param name name of the object
 * @param content decoded content of the object
 * @param revision revision of the store at the object's last change; 0 if not stated
 */
public record StoredEntry<T>(String name, T content, long revision) {}
