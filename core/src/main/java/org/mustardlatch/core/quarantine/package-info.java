/** Evidence about requests that crash engines, and the quarantine of their fingerprints. */
@NullMarked
package org.mustardlatch.core.quarantine;

import org.jspecify.annotations.NullMarked;
