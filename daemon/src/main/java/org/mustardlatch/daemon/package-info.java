/** The daemon: services with start and stop around the decision logic of the core module. */
@NullMarked
package org.mustardlatch.daemon;

import org.jspecify.annotations.NullMarked;
