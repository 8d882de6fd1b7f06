/** How this node acts together with its peers: the service around {@code PeerNode}. */
@NullMarked
package org.mustardlatch.daemon.peer;

import org.jspecify.annotations.NullMarked;
