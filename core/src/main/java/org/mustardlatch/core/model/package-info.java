/**
 * Value types for the names of hosts, regions, zones, workspaces, upstreams, models and requests.
 * Constructors reject invalid names.
 */
@NullMarked
package org.mustardlatch.core.model;

import org.jspecify.annotations.NullMarked;
