/** Names of hosts, zones, workspaces, upstreams, models and requests as checked values. */
@NullMarked
package org.mustardlatch.core.model;

import org.jspecify.annotations.NullMarked;
