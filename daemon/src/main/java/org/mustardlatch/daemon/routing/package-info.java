/** Runs the routing policy on one thread and carries out its commands. */
@NullMarked
package org.mustardlatch.daemon.routing;

import org.jspecify.annotations.NullMarked;
