/** Settings of one daemon process and their parser. */
@NullMarked
package org.mustardlatch.core.settings;

import org.jspecify.annotations.NullMarked;
