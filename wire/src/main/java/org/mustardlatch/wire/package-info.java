/** Transport and codec of messages between nodes: Netty, protobuf and mutual TLS. */
@NullMarked
package org.mustardlatch.wire;

import org.jspecify.annotations.NullMarked;
