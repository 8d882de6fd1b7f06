/** Interfaces of the monotonic clock and the timer service, and a timer service in virtual time. */
@NullMarked
package org.mustardlatch.core.time;

import org.jspecify.annotations.NullMarked;
