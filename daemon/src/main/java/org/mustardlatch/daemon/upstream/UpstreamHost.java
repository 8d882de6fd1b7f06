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
 * An upstream with its own connection pool, so that a stall evicts only the connections to this
 * host. Safe for use by several threads.
 */
final class UpstreamHost {
  private static final int MAX_IDLE_CONNECTIONS = 64;
  private static final long IDLE_TIMEOUT_SECONDS = 60;

  private final UpstreamId id;
  private final URI address;
  private final HttpUrl baseUrl;
  private final OkHttpClient client;
  private final AtomicBoolean stalledSinceLastSuccess = new AtomicBoolean();
  private final ConnectionPool pool =
      new ConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_TIMEOUT_SECONDS, TimeUnit.SECONDS);

  UpstreamHost(Upstream upstream, OkHttpClient sharedClient) {
    this.id = upstream.id();
    this.address = upstream.url();
    HttpUrl url = HttpUrl.get(upstream.url());
    if (url == null) {
      throw new IllegalArgumentException("\"" + upstream.url() + "\" is not an http URL");
    }
    this.baseUrl = url;
    this.client = sharedClient.newBuilder().connectionPool(pool).build();
  }

  UpstreamId id() {
    return id;
  }

  boolean hasAddress(URI url) {
    return address.equals(url);
  }

  OkHttpClient client() {
    return client;
  }

  /** Appends a path, which must start with a slash, to the base URL. */
  HttpUrl url(String path) {
    return baseUrl.newBuilder().addEncodedPathSegments(path.substring(1)).build();
  }

  HttpUrl baseUrl() {
    return baseUrl;
  }

  /** Closes the idle connections; calls in progress keep theirs. */
  void evictConnections() {
    pool.evictAll();
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
