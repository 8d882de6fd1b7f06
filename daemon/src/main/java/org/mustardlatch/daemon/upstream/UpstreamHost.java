package org.mustardlatch.daemon.upstream;

import java.net.URI;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import okhttp3.ConnectionPool;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import org.mustardlatch.core.manifest.Upstream;
import org.mustardlatch.core.model.UpstreamId;

/**
 * An upstream and the clients for its calls. Safe for use by several threads.
 *
 * <p>A call whose response goes to a caller has a connection of its own: nothing in a response
 * tells which request it belongs to, so that a second copy of one on a kept connection would reach
 * the caller of the next. Control calls share a pool for each upstream, so that a stall evicts only
 * the connections to this host.
 */
final class UpstreamHost {
  private static final int MAX_IDLE_CONNECTIONS = 64;
  private static final long IDLE_TIMEOUT_SECONDS = 60;

  private final UpstreamId id;
  private final URI address;
  private final HttpUrl baseUrl;
  private final OkHttpClient callClient;
  private final OkHttpClient controlClient;
  private final AtomicBoolean stalledSinceLastSuccess = new AtomicBoolean();
  private final ConnectionPool controlPool =
      new ConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_TIMEOUT_SECONDS, TimeUnit.SECONDS);

  UpstreamHost(Upstream upstream, OkHttpClient sharedClient) {
    this.id = upstream.id();
    this.address = upstream.url();
    HttpUrl url = HttpUrl.get(upstream.url());
    if (url == null) {
      throw new IllegalArgumentException("\"" + upstream.url() + "\" is not an http URL");
    }
    this.baseUrl = url;
    ConnectionPool noReuse = new ConnectionPool(0, IDLE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    this.callClient = sharedClient.newBuilder().connectionPool(noReuse).build();
    this.controlClient = sharedClient.newBuilder().connectionPool(controlPool).build();
  }

  UpstreamId id() {
    return id;
  }

  boolean hasAddress(URI url) {
    return address.equals(url);
  }

  /** Returns the client for calls whose response goes to a caller. */
  OkHttpClient callClient() {
    return callClient;
  }

  /** Returns the client for polls, probes and cancellations. */
  OkHttpClient controlClient() {
    return controlClient;
  }

  /** Appends a path, which must start with a slash, to the base URL. */
  HttpUrl url(String path) {
    return baseUrl.newBuilder().addEncodedPathSegments(path.substring(1)).build();
  }

  HttpUrl baseUrl() {
    return baseUrl;
  }

  /** Closes the idle connections of control calls; those in use remain. */
  void evictConnections() {
    controlPool.evictAll();
  }

  /** Records that a call succeeded. */
  void recordSuccess() {
    stalledSinceLastSuccess.set(false);
  }

  /** Records a stall; returns whether another one was recorded since the last successful call. */
  boolean recordStall() {
    return stalledSinceLastSuccess.getAndSet(true);
  }
}
