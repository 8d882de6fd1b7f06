/**
 * Distribution of manifest revisions (versions of the fleet configuration) until one is active on
 * every node, in the view of one node. A pure state machine that maps events and the current time
 * to commands.
 */
@NullMarked
package org.mustardlatch.core.rollout;

import org.jspecify.annotations.NullMarked;
