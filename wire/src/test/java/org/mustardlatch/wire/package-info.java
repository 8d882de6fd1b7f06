@NullMarked
package org.mustardlatch.wire;

import org.jspecify.annotations.NullMarked;
