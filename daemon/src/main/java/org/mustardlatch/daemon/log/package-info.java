/** Numbered log events; docs/EVENTS.md is their catalogue. */
@NullMarked
package org.mustardlatch.daemon.log;

import org.jspecify.annotations.NullMarked;
