/** HTTP clients for engines and application services, and the polling of engines. */
@NullMarked
package org.mustardlatch.daemon.upstream;

import org.jspecify.annotations.NullMarked;
