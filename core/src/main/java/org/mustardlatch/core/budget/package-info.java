/**
 * Rate budgets shared by the nodes of a region: an owner grants leases of units, clients spend the
 * leased units. Pure state machines that map messages and the current time to commands.
 */
@NullMarked
package org.mustardlatch.core.budget;

import org.jspecify.annotations.NullMarked;
