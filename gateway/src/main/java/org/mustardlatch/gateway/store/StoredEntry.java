package org.mustardlatch.gateway.store;

/**
 * A named object of the store with its decoded content.
 *
 * @param name name of the object
 * @param content decoded content of the object
 */
public record StoredEntry<T>(String name, T content) {}
