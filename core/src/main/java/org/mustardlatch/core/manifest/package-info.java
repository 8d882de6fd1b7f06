/** The manifest: what operators publish, as immutable values, and its parser. */
@NullMarked
package org.mustardlatch.core.manifest;

import org.jspecify.annotations.NullMarked;
