/**
 * Messages between nodes as immutable values. Times in messages are durations, never points in
 * time, because the monotonic clocks of two processes cannot be compared.
 */
@NullMarked
package org.mustardlatch.core.peer;

import org.jspecify.annotations.NullMarked;
