package org.mustardlatch.daemon.node;

import jakarta.servlet.Filter;
import jakarta.servlet.FilterChain;
import jakarta.servlet.ServletException;
import jakarta.servlet.ServletInputStream;
import jakarta.servlet.ServletRequest;
import jakarta.servlet.ServletResponse;
import jakarta.servlet.http.HttpServletRequest;
import java.io.IOException;
import java.time.Duration;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;
import org.eclipse.jetty.io.EndPoint;

/**
 * Reads and discards the rest of a request's body after the response has been sent. Closing a
 * connection with unread bytes resets it, and a caller that is still sending then loses the
 * response.
 */
final class UnreadBodyFilter implements Filter {
  private static final int PART_BYTES = 64 << 10;
  private static final Duration LONGEST_PAUSE = Duration.ofSeconds(2);
  private static final Duration LONGEST_TIME = Duration.ofSeconds(10);

  @Override
  public void doFilter(ServletRequest request, ServletResponse response, FilterChain chain)
      throws IOException, ServletException {
    chain.doFilter(request, response);
    if (request.isAsyncStarted() || !sendsBody((HttpServletRequest) request)) {
      return;
    }
    ServletInputStream body = request.getInputStream();
    if (!body.isFinished()) {
      response.getOutputStream().close();
      discard(body, endPoint((HttpServletRequest) request));
    }
  }

  /** Returns whether the caller sends a body without waiting for a status 100 first. */
  private static boolean sendsBody(HttpServletRequest request) {
    boolean hasBody =
        request.getContentLengthLong() > 0 || request.getHeader("Transfer-Encoding") != null;
    return hasBody && request.getHeader("Expect") == null;
  }

  /** Discards the body until its end, or until its caller sends too slowly or has disconnected. */
  private static void discard(ServletInputStream body, EndPoint endPoint) {
    long start = System.nanoTime();
    long idleTimeout = endPoint.getIdleTimeout();
    byte[] part = new byte[PART_BYTES];
    endPoint.setIdleTimeout(LONGEST_PAUSE.toMillis());
    try {
      while (body.read(part) >= 0 && System.nanoTime() - start < LONGEST_TIME.toNanos()) {}
    } catch (IOException e) {
      // Jetty closes the connection, since its request has not been read.
    } finally {
      endPoint.setIdleTimeout(idleTimeout);
    }
  }

  private static EndPoint endPoint(HttpServletRequest request) {
    return ServletContextRequest.getServletContextRequest(request)
        .getConnectionMetaData()
        .getConnection()
        .getEndPoint();
  }
}
