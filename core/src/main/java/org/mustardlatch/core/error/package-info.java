/** Errors with stable codes, and findings that locate faults in files. */
@NullMarked
package org.mustardlatch.core.error;

import org.jspecify.annotations.NullMarked;
