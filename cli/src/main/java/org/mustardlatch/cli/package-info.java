/** Placeholder. */
@NullMarked
package org.mustardlatch.cli;

import org.jspecify.annotations.NullMarked;
