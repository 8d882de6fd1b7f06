/** Choice of an upstream for requests to plain application services. */
@NullMarked
package org.mustardlatch.core.balancing;

import org.jspecify.annotations.NullMarked;
