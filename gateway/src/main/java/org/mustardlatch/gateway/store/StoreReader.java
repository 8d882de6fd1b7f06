package org.mustardlatch.gateway.store;

import java.time.Duration;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Reads objects of one kind from the platform's store. Answers arrive on the thread of the caller's
 * timer service, exactly one for each call.
 */
public interface StoreReader<T> {
  /** Lists objects, from the first one or after a name. */
  void list(@Nullable String after, Consumer<StoreResponse<T>> answer);

  /**
   * Waits for changes.
   *
   * @param revision changes after this one are wanted
   * @param wait how long the store may keep the call waiting
   */
  void watch(long revision, Duration wait, Consumer<StoreResponse<T>> answer);
}
