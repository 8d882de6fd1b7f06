/** Runs the routing policy on one thread, executes its commands and passes output to callers. */
@NullMarked
package org.mustardlatch.daemon.routing;

import org.jspecify.annotations.NullMarked;
