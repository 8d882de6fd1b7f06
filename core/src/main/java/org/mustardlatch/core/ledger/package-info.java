/**
 * At-most-once execution (design 4.4): records of keyed requests in shard objects, their writer,
 * and the entry side of a keyed request. No input or output, no threads; the wall clock is used for
 * the times in records only.
 */
@NullMarked
package org.mustardlatch.core.ledger;

import org.jspecify.annotations.NullMarked;
