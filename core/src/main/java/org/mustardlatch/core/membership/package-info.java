/**
 * Which nodes are alive, as one node sees it: overlay of observers, failure detector, rumors.
 * Events and the current time in, commands out.
 */
@NullMarked
package org.mustardlatch.core.membership;

import org.jspecify.annotations.NullMarked;
