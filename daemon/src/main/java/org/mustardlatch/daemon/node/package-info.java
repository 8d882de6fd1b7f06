/**
 * Services of the node as a whole: reading, activation and publication of the manifest, host list,
 * registration, lifecycle state, event loop and HTTP server.
 */
@NullMarked
package org.mustardlatch.daemon.node;

import org.jspecify.annotations.NullMarked;
