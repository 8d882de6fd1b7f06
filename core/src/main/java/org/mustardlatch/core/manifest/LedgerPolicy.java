package org.mustardlatch.core.manifest;

import java.time.Duration;

/**
 * How records of non-idempotent requests are kept.
 *
 * @param retention how long an outcome is remembered
 * @param writesPerSecond writes to the object service that the whole fleet may spend on records
 */
public record LedgerPolicy(Duration retention, int writesPerSecond) {}
