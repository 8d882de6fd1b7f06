package org.mustardlatch.gateway;

/**
 * A KV cache that a prefill engine has ready.
 *
 * @param reference the engine's name for it
 * @param tokens tokens in it
 */
public record ExportedKv(String reference, int tokens) {}
