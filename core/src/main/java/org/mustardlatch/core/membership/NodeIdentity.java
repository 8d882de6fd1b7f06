package org.mustardlatch.core.membership;

import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.ZoneId;

/**
 * What a node tells others about itself; fixed for the life of its process.
 *
 * @param address host and port of its peer listener, for example {@code 10.0.0.1:7100}
 */
public record NodeIdentity(HostId host, RegionId region, ZoneId zone, String address) {}
