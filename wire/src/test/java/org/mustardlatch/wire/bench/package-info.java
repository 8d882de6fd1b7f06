/** Measures nodes among their peers over real sockets; see {@code bin/bench-peers}. */
@NullMarked
package org.mustardlatch.wire.bench;

import org.jspecify.annotations.NullMarked;
