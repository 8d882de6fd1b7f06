/**
 * Value types for the names of hosts, regions, zones, workspaces, upstreams, models and requests,
 * and for attempts and content fingerprints. Constructors reject invalid values.
 */
@NullMarked
package org.mustardlatch.core.model;

import org.jspecify.annotations.NullMarked;
