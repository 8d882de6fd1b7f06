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
 * @param incarnation grows with every start of the node and every refuted suspicion
 */
public record Member(HostId host, RegionId region, ZoneId zone, long incarnation) {}
