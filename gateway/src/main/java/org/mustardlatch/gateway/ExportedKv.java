package org.mustardlatch.gateway;

/**
 * A KV cache that a prefill engine retains for transfer to a decode engine.
 *
 * @param reference the engine's id of the KV cache
 * @param tokens number of tokens in the KV cache
 */
public record ExportedKv(String reference, int tokens) {}
