/**
 * The data path: receives the requests of callers, forwards them to upstreams and returns the
 * responses. The method, target and body of a request are forwarded unmodified; of the headers,
 * only those of the connection and of the router change.
 */
@NullMarked
package org.mustardlatch.gateway;

import org.jspecify.annotations.NullMarked;
