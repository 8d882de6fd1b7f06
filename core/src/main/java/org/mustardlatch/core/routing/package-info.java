/**
 * The routing decisions of one node for generation requests: events and the current time in,
 * commands out. No input or output, no threads, no wall clock.
 */
@NullMarked
package org.mustardlatch.core.routing;

import org.jspecify.annotations.NullMarked;
