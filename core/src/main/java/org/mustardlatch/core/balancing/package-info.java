/**
 * Load balancing of requests to application services, and budgets of extra requests (retries and
 * hedges), which generation requests use too.
 */
@NullMarked
package org.mustardlatch.core.balancing;

import org.jspecify.annotations.NullMarked;
