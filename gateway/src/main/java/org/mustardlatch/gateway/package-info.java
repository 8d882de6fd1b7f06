/**
 * The data path: receives the requests of callers, forwards them unmodified to upstreams and
 * returns the responses.
 */
@NullMarked
package org.mustardlatch.gateway;

import org.jspecify.annotations.NullMarked;
