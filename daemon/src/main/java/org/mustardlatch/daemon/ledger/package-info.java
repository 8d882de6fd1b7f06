/**
 * Runs the ledger of {@code core.ledger}, which executes keyed requests at most once, on this node.
 */
@NullMarked
package org.mustardlatch.daemon.ledger;

import org.jspecify.annotations.NullMarked;
