package org.mustardlatch.daemon.ledger;

import java.util.Optional;
import java.util.function.Supplier;
import org.mustardlatch.core.ledger.KeyedRequestTimeouts;
import org.mustardlatch.core.ledger.LedgerLimits;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;

/**
 * Settings of a {@link LedgerService} that depend on its node.
 *
 * @param self this node
 * @param storeRegion region of the object service, whose nodes own the shards; empty when unknown
 * @param limits limits from the active manifest; read on any thread, whenever a shard is opened and
 *     at every key check
 * @param timeouts timeouts of keyed requests
 */
public record LedgerSettings(
    HostId self,
    Optional<RegionId> storeRegion,
    Supplier<LedgerLimits> limits,
    KeyedRequestTimeouts timeouts) {}
