/** Numbered log events; docs/EVENTS.md is their catalogue. */
@NullMarked
package org.mustardlatch.gateway.log;

import org.jspecify.annotations.NullMarked;
