package org.mustardlatch.gateway.store;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** Encodes reads of objects of one kind for a platform's store, and decodes the responses. */
public interface StoreCodec<T> {
  /**
   * Returns the request for a list that starts after the given name, or at the first object if
   * null.
   */
  HttpRequest listRequest(@Nullable String after);

  /** Returns the request that waits for changes after a revision, at most for the given time. */
  HttpRequest watchRequest(long revision, Duration wait);

  /**
   * Returns how often the store has been restored from an earlier copy, by the headers of any of
   * its responses; null if not stated.
   */
  @Nullable Long readRestoreCount(HttpHeaders headers);

  /** Returns a decoder of a response to a list. */
  ResponseDecoder<T> listDecoder(int status);

  /** Returns a decoder of a response to a watch. */
  ResponseDecoder<T> watchDecoder(int status);

  /**
   * Decodes an object from {@link StoredEntry#source}, as another node has read it.
   *
   * @throws IllegalArgumentException if it is not valid
   */
  StoredEntry<T> decode(String source);

  /** Decodes the body of one response while it arrives. */
  interface ResponseDecoder<T> {
    /** Processes the next part of the body. */
    void append(byte[] part);

    /**
     * Returns the response after the end of its body; an invalid one becomes {@link
     * StoreResponse.Unavailable}.
     */
    StoreResponse<T> finish();
  }
}
