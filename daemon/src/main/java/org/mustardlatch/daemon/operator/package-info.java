/** The HTTP interface for operators: metrics, health, node state, manifest and graceful stop. */
@NullMarked
package org.mustardlatch.daemon.operator;

import org.jspecify.annotations.NullMarked;
