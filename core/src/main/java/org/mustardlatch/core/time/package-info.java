/** Monotonic clocks and timer services, real and virtual. */
@NullMarked
package org.mustardlatch.core.time;

import org.jspecify.annotations.NullMarked;
