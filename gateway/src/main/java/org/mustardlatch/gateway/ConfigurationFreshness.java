package org.mustardlatch.gateway;

import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Tells how recent the configuration in force is. Used on the event loop of the data path. */
public interface ConfigurationFreshness {
  /**
   * Returns the monotonic time up to which the configuration in force is known to be the newest, in
   * nanoseconds; null if it is not known at all.
   */
  @Nullable Long confirmedNanos();

  /**
   * Puts the newest configuration into force.
   *
   * @param result receives, now or later, whether the configuration in force is known to be at
   *     least as new as this call
   */
  void confirm(Consumer<Boolean> result);
}
