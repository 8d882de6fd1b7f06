/** Placeholder. */
@NullMarked
package org.mustardlatch.core;

import org.jspecify.annotations.NullMarked;
