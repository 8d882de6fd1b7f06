/** The node as a whole: manifest in force, timers, state of the process. */
@NullMarked
package org.mustardlatch.daemon.node;

import org.jspecify.annotations.NullMarked;
