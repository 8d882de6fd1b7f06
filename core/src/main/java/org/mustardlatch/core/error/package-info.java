/** Errors with stable codes, and findings that name the place of a fault in a file. */
@NullMarked
package org.mustardlatch.core.error;

import org.jspecify.annotations.NullMarked;
