/**
 * The manifest, the description of a deployment, as immutable values, with the parser of its TOML
 * form and its comparison.
 */
@NullMarked
package org.mustardlatch.core.manifest;

import org.jspecify.annotations.NullMarked;
