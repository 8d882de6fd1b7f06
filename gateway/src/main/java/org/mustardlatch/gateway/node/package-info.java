/** A process that runs the data path on a platform. */
@NullMarked
package org.mustardlatch.gateway.node;

import org.jspecify.annotations.NullMarked;
