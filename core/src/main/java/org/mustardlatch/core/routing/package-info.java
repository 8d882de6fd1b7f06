/**
 * The routing decisions of one node for generation requests. The code maps events and the current
 * time to commands; it performs no I/O, starts no threads and reads no wall clock. All calls for a
 * node must come from one thread: the classes are not thread-safe.
 *
 * <p>A cell is the set of engines of one model in one region that share one admitting node, which
 * admits work to them. The entry node holds the connection of the caller and requests reservations
 * from the admitting node. KV memory is counted in pieces of the size that the model states. An
 * incarnation numbers the starts of a node; a long pause, after which others may have declared it
 * dead, counts as a start.
 */
@NullMarked
package org.mustardlatch.core.routing;

import org.jspecify.annotations.NullMarked;
