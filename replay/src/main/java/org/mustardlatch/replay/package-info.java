/**
 * Replays traces through the routing decisions of several nodes in virtual time, against small
 * fakes of engines and links, and reports goodput, wasted prefill, service at the crest of a demand
 * spike and tail latency.
 */
@NullMarked
package org.mustardlatch.replay;

import org.jspecify.annotations.NullMarked;
