/** HTTP connections to callers and upstreams. */
@NullMarked
package org.mustardlatch.gateway.http;

import org.jspecify.annotations.NullMarked;
