/**
 * Membership of the fleet in the view of one node: observer overlay, failure detector and rumors
 * (gossip about the state of nodes). A pure state machine that maps events and the current time to
 * commands.
 *
 * <p>The incarnation of a node grows with every start of its process and every pause after which
 * others may have declared it dead.
 */
@NullMarked
package org.mustardlatch.core.membership;

import org.jspecify.annotations.NullMarked;
