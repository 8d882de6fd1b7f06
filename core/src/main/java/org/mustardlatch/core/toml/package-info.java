/** Reads TOML tables key by key and reports every fault with its line and column. */
@NullMarked
package org.mustardlatch.core.toml;

import org.jspecify.annotations.NullMarked;
