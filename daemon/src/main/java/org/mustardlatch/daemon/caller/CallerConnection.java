package org.mustardlatch.daemon.caller;

import io.javalin.http.Context;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;

/**
 * Detects whether the caller of a request in progress has closed its connection. Jetty does not
 * read from the connection between the end of a request and its response, so without this check a
 * caller that disconnects before the first token is detected only by a failed write. Must be used
 * on the thread of the request's handler, because Jetty itself reads from the connection once the
 * handler has returned.
 */
final class CallerConnection {
  private static final int PEEK_BYTES = 64;

  private final EndPoint endPoint;
  private final Connection connection;

  CallerConnection(Context ctx) {
    connection =
        ServletContextRequest.getServletContextRequest(ctx.req())
            .getConnectionMetaData()
            .getConnection();
    endPoint = connection.getEndPoint();
  }

  /** Returns whether the caller has closed the connection or it is broken. Does not block. */
  boolean isClosed() {
    if (!endPoint.isOpen() || endPoint.isInputShutdown()) {
      return true;
    }
    ByteBuffer peek = BufferUtil.allocate(PEEK_BYTES);
    try {
      int filled = endPoint.fill(peek);
      if (filled > 0 && connection instanceof Connection.UpgradeTo reader) {
        // These bytes belong to the next request on the connection; pass them to the HTTP parser.
        reader.onUpgradeTo(peek);
      }
      return filled < 0;
    } catch (IOException e) {
      return true;
    }
  }
}
