/** The command-line tool {@code mustardlatch} for operators. */
@NullMarked
package org.mustardlatch.cli;

import org.jspecify.annotations.NullMarked;
