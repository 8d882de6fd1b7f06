/**
 * Transport and codec of the messages between nodes, based on Netty, protobuf and mutual TLS.
 * {@link org.mustardlatch.wire.PeerNode} is the entry point: it combines the transport with
 * membership, distribution of the manifest and shared budgets.
 */
@NullMarked
package org.mustardlatch.wire;

import org.jspecify.annotations.NullMarked;
