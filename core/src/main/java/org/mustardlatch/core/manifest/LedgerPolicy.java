package org.mustardlatch.core.manifest;

import java.time.Duration;

/**
 * Limits of the ledger, which records the outcomes of non-idempotent requests.
 *
 * @param retention time for which an outcome is kept
 * @param writesPerSecond limit of ledger writes to the object service over the whole fleet, per
 *     second
 */
public record LedgerPolicy(Duration retention, int writesPerSecond) {}
