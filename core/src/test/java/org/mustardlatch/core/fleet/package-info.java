/** Several nodes in virtual time, for tests of membership, rollout and budgets together. */
@NullMarked
package org.mustardlatch.core.fleet;

import org.jspecify.annotations.NullMarked;
