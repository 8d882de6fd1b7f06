package org.mustardlatch.standin;

/**
 * Memory that an engine holds for an attempt.
 *
 * @param attempt the attempt's name, from {@code X-Request-Id}
 * @param kind {@code prefill} while the prompt is processed, {@code kv} for an exported KV cache,
 *     {@code decode} while tokens are generated
 * @param owner the router that sent it, from {@code X-Router-Incarnation}
 * @param incarnation that router's incarnation
 * @param pieces memory in pieces of 1,000 tokens
 */
public record Allocation(String attempt, String kind, String owner, long incarnation, int pieces) {}
