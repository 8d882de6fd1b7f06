/** Monotonic time and timers that parts subscribe to. */
@NullMarked
package org.mustardlatch.core.time;

import org.jspecify.annotations.NullMarked;
