/** Placeholder. */
@NullMarked
package org.mustardlatch.daemon;

import org.jspecify.annotations.NullMarked;
