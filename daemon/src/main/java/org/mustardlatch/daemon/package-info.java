/** Daemon process: long-running services around the decision logic of the core module. */
@NullMarked
package org.mustardlatch.daemon;

import org.jspecify.annotations.NullMarked;
