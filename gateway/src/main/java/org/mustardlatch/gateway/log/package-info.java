/** Numbered log events, listed in docs/EVENTS.md, and the log writer. */
@NullMarked
package org.mustardlatch.gateway.log;

import org.jspecify.annotations.NullMarked;
