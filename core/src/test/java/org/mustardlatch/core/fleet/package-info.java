/**
 * Tests of membership, rollout and budgets together, on several simulated nodes in virtual time.
 */
@NullMarked
package org.mustardlatch.core.fleet;

import org.jspecify.annotations.NullMarked;
