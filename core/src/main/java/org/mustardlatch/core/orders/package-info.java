/**
 * Orders to engines (design 4.9): the lease that allows a node to send them, and the planning of
 * the next orders. The code does no I/O, starts no threads and does not use the wall clock. Its
 * state machines are not thread-safe.
 */
@NullMarked
package org.mustardlatch.core.orders;

import org.jspecify.annotations.NullMarked;
