/** The client side towards engines and application services. */
@NullMarked
package org.mustardlatch.daemon.upstream;

import org.jspecify.annotations.NullMarked;
