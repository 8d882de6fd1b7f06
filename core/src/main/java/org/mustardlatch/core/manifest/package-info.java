/**
 * The manifest, the description of a deployment that operators publish, as immutable values, with
 * its parser and its comparison.
 */
@NullMarked
package org.mustardlatch.core.manifest;

import org.jspecify.annotations.NullMarked;
