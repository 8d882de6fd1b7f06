package org.mustardlatch.core.routing;

import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.ZoneId;

/**
 * A live node as membership sees it.
 *
 * @param host the node
 * @param region its region
 * @param zone its availability zone
 * @param incarnation grows with every start of the node and every pause after which others may have
 *     declared it dead; a refuted suspicion does not raise it
 */
public record Member(HostId host, RegionId region, ZoneId zone, long incarnation) {}
