/**
 * Orders to engines (design 4.9): who may give them, and which are due. No input or output, no
 * threads, no wall clock.
 */
@NullMarked
package org.mustardlatch.core.orders;

import org.jspecify.annotations.NullMarked;
