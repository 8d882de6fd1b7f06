/**
 * Runs the ledger of {@code core.ledger}, which ensures that keyed requests are dispatched at most
 * once, against the object service and the other nodes.
 */
@NullMarked
package org.mustardlatch.daemon.ledger;

import org.jspecify.annotations.NullMarked;
