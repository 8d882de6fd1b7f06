/** Placeholder. */
@NullMarked
package org.mustardlatch.standin;

import org.jspecify.annotations.NullMarked;
