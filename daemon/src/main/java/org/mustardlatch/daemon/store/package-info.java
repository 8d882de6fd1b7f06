/** Client of the platform's object service and access to the manifest stored there. */
@NullMarked
package org.mustardlatch.daemon.store;

import org.jspecify.annotations.NullMarked;
