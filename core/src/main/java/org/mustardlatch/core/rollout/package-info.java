/**
 * How a manifest revision comes into force on every node, as one node sees it. Events and the
 * current time in, commands out.
 */
@NullMarked
package org.mustardlatch.core.rollout;

import org.jspecify.annotations.NullMarked;
