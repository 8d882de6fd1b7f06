/** Communication of this node with its peers, based on {@code PeerNode}. */
@NullMarked
package org.mustardlatch.daemon.peer;

import org.jspecify.annotations.NullMarked;
