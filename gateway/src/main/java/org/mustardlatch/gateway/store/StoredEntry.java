package org.mustardlatch.gateway.store;

/**
 * An object of a watched kind.
 *
 * @param name its name
 * @param content its content, decoded
 */
public record StoredEntry<T>(String name, T content) {}
