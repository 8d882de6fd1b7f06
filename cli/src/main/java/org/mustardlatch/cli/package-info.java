/** mustardlatch, the command-line tool for operators. */
@NullMarked
package org.mustardlatch.cli;

import org.jspecify.annotations.NullMarked;
