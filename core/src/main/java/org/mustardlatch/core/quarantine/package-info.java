/** Evidence on requests that crash engines, and the quarantine that follows from it. */
@NullMarked
package org.mustardlatch.core.quarantine;

import org.jspecify.annotations.NullMarked;
