/** The data path: takes requests of callers, forwards them byte for byte, returns the answers. */
@NullMarked
package org.mustardlatch.gateway;

import org.jspecify.annotations.NullMarked;
