/** The active routes and services of a node, and the registered upstreams. */
@NullMarked
package org.mustardlatch.gateway.config;

import org.jspecify.annotations.NullMarked;
