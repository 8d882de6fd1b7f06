package org.mustardlatch.gateway.http;

/** How the end of a response was recognized. */
public enum ResponseEnd {
  /** By its length or its last chunk, or by its status if that allows no body. */
  FRAMING,
  /**
   * By the end of its connection, since it has neither a length nor chunks. The upstream may have
   * ended the connection before the response was complete.
   */
  CONNECTION_CLOSE
}
