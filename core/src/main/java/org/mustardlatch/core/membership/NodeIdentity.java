package org.mustardlatch.core.membership;

import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.ZoneId;

/**
 * Identity and location that a node reports to others; fixed for the lifetime of its process.
 *
 * @param address host and port of the peer listener of the node, for example {@code 10.0.0.1:7100}
 */
public record NodeIdentity(HostId host, RegionId region, ZoneId zone, String address) {}
