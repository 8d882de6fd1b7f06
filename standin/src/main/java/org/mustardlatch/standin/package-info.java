/**
 * Stand-ins for the systems around the daemon, as programs and as servers inside a test: model
 * engines, application services, the object service and callers. They follow the published formats
 * of section 2.5 of the design page and have switches for faults.
 */
@NullMarked
package org.mustardlatch.standin;

import org.jspecify.annotations.NullMarked;
