/** Benchmarks of a fleet of nodes over real sockets; see {@code bin/bench-peers}. */
@NullMarked
package org.mustardlatch.wire.bench;

import org.jspecify.annotations.NullMarked;
