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
 * An upstream with its own connection pool, so that after a stall the connections to this host
 * alone are given up.
 */
final class UpstreamHost {
  private static final int IDLE_CONNECTIONS = 64;
  private static final long IDLE_SECONDS = 60;

  private final UpstreamId id;
  private final URI address;
  private final HttpUrl base;
  private final OkHttpClient client;
  private final AtomicBoolean stalledBefore = new AtomicBoolean();
  private final ConnectionPool pool =
      new ConnectionPool(IDLE_CONNECTIONS, IDLE_SECONDS, TimeUnit.SECONDS);

  UpstreamHost(Upstream upstream, OkHttpClient common) {
    this.id = upstream.id();
    this.address = upstream.url();
    HttpUrl url = HttpUrl.get(upstream.url());
    if (url == null) {
      throw new IllegalArgumentException("\"" + upstream.url() + "\" is not an http URL");
    }
    this.base = url;
    this.client = common.newBuilder().connectionPool(pool).build();
  }

  UpstreamId id() {
    return id;
  }

  boolean isAt(URI url) {
    return address.equals(url);
  }

  OkHttpClient client() {
    return client;
  }

  HttpUrl url(String path) {
    return base.newBuilder().addEncodedPathSegments(path.substring(1)).build();
  }

  HttpUrl base() {
    return base;
  }

  /** Gives up the idle connections; calls in progress keep theirs. */
  void evictConnections() {
    pool.evictAll();
  }

  /** Records that a call ended well. */
  void noteProgress() {
    stalledBefore.set(false);
  }

  /** Records a stall; returns whether there was another since the last call that ended well. */
  boolean noteStall() {
    return stalledBefore.getAndSet(true);
  }
}
