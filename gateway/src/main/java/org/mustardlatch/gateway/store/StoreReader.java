package org.mustardlatch.gateway.store;

import java.time.Duration;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Reads objects of one kind from the platform's store. Each call gets exactly one response, on the
 * thread of the timer service.
 */
public interface StoreReader<T> {
  /** Lists the objects after the given name, or from the first one if it is null. */
  void list(@Nullable String after, Consumer<StoreResponse<T>> consumer);

  /**
   * Waits for changes after a revision.
   *
   * @param revision revision after which changes are returned
   * @param wait maximum time for which the store may delay its response
   */
  void watch(long revision, Duration wait, Consumer<StoreResponse<T>> consumer);

  /** Returns the time from the first to the last part of the last complete response. */
  Duration lastTransferTime();
}
