/** Reading and watching the objects of the platform's store. */
@NullMarked
package org.mustardlatch.gateway.store;

import org.jspecify.annotations.NullMarked;
