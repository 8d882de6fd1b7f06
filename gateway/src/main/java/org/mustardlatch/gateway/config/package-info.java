/** Routes, services and upstreams in force on a node. */
@NullMarked
package org.mustardlatch.gateway.config;

import org.jspecify.annotations.NullMarked;
