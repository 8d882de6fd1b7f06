/**
 * A node that runs the data path of the gateway on a platform, and the interface to that platform.
 */
@NullMarked
package org.mustardlatch.gateway.node;

import org.jspecify.annotations.NullMarked;
