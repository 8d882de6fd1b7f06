/** Tests of the data path over real sockets, with scripted upstreams. */
@NullMarked
package org.mustardlatch.gateway;

import org.jspecify.annotations.NullMarked;
