/** Runs the at-most-once decisions of {@code core.ledger} against the object service and peers. */
@NullMarked
package org.mustardlatch.daemon.ledger;

import org.jspecify.annotations.NullMarked;
