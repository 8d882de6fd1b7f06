/** Load balancing and retry budgets for requests to application services. */
@NullMarked
package org.mustardlatch.core.balancing;

import org.jspecify.annotations.NullMarked;
