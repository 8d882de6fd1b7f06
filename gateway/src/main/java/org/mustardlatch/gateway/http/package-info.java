/** HTTP server for callers, and HTTP client for upstreams and the platform's store. */
@NullMarked
package org.mustardlatch.gateway.http;

import org.jspecify.annotations.NullMarked;
