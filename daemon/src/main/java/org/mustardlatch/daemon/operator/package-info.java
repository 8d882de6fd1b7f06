/**
 * The HTTP interface for operators, the people and tools that run the router: metrics, health, node
 * state, routing decisions, manifest and graceful stop.
 */
@NullMarked
package org.mustardlatch.daemon.operator;

import org.jspecify.annotations.NullMarked;
