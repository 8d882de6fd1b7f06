package org.mustardlatch.core.routing;

import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.model.ZoneId;

/**
 * A live node according to membership.
 *
 * @param host the node
 * @param region its region
 * @param zone its availability zone
 * @param incarnation increases with every start of the node and every pause after which others may
 *     have declared it dead; a refuted suspicion does not increase it
 */
public record Member(HostId host, RegionId region, ZoneId zone, long incarnation) {}
