/** Client of the platform's object service, and the manifest object in it. */
@NullMarked
package org.mustardlatch.daemon.store;

import org.jspecify.annotations.NullMarked;
