/**
 * Services of the node as a whole: active manifest, event loop, HTTP server, registration and
 * lifecycle state.
 */
@NullMarked
package org.mustardlatch.daemon.node;

import org.jspecify.annotations.NullMarked;
