/** The interface for operators: metrics, health, state, manifest, graceful stop. */
@NullMarked
package org.mustardlatch.daemon.operator;

import org.jspecify.annotations.NullMarked;
