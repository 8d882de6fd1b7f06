package org.mustardlatch.gateway.store;

import io.netty.handler.codec.http.HttpRequest;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** How reads of objects of one kind look on the wire of a platform's store. */
public interface StoreCodec<T> {
  /** Returns the request for a list, from the first object or after a name. */
  HttpRequest listRequest(@Nullable String after);

  /** Returns the request that waits for changes after a revision. */
  HttpRequest watchRequest(long revision, Duration wait);

  /** Reads the answer to a list; what can't be read is {@link StoreResponse.Unavailable}. */
  StoreResponse<T> decodeList(int status, byte[] body);

  /** Reads the answer to a watch; what can't be read is {@link StoreResponse.Unavailable}. */
  StoreResponse<T> decodeWatch(int status, byte[] body);
}
