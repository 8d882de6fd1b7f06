/** What the HTTP clients of a daemon have in common. */
@NullMarked
package org.mustardlatch.daemon.http;

import org.jspecify.annotations.NullMarked;
