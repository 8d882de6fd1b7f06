/**
 * Budgets that the nodes of a region share: an owner grants leases of units, clients spend what
 * they hold. Events and the current time in, commands out.
 */
@NullMarked
package org.mustardlatch.core.budget;

import org.jspecify.annotations.NullMarked;
