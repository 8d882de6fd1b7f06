/** Placeholder. */
@NullMarked
package org.mustardlatch.replay;

import org.jspecify.annotations.NullMarked;
