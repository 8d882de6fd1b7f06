/** Decisions of a node about its own planned stop. */
@NullMarked
package org.mustardlatch.core.lifecycle;

import org.jspecify.annotations.NullMarked;
