/** Settings of a daemon process and the parser of the settings file. */
@NullMarked
package org.mustardlatch.core.settings;

import org.jspecify.annotations.NullMarked;
