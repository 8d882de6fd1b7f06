package org.mustardlatch.daemon.ledger;

import java.util.Optional;
import java.util.function.Supplier;
import org.mustardlatch.core.ledger.KeyedRequestTimeouts;
import org.mustardlatch.core.ledger.LedgerLimits;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;

/**
 * What a {@link LedgerService} is told about its node.
 *
 * @param self this node
 * @param storeRegion region of the object service, whose nodes own the shards; empty when not known
 * @param limits limits from the manifest in force; read whenever a shard is opened and at every key
 *     check, on any thread
 * @param timeouts waiting times
 */
public record LedgerSettings(
    HostId self,
    Optional<RegionId> storeRegion,
    Supplier<LedgerLimits> limits,
    KeyedRequestTimeouts timeouts) {}
