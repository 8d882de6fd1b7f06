package org.mustardlatch.daemon.upstream;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import okhttp3.Dispatcher;
import okhttp3.OkHttpClient;
import org.mustardlatch.core.manifest.Manifest;
import org.mustardlatch.core.manifest.Upstream;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.daemon.http.ResponseValidator;

/**
 * The upstreams of all manifests applied since the node started. An upstream that a later manifest
 * removes is kept, because its attempts must still finish or be cancelled. Safe for use by several
 * threads.
 */
public final class UpstreamHosts {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

  private final Map<UpstreamId, UpstreamHost> hosts = new ConcurrentHashMap<>();
  private final OkHttpClient sharedClient =
      new OkHttpClient.Builder()
          .dispatcher(new Dispatcher())
          .connectTimeout(CONNECT_TIMEOUT)
          .readTimeout(Duration.ZERO)
          .writeTimeout(Duration.ofSeconds(10))
          .followRedirects(false)
          .retryOnConnectionFailure(false)
          .addNetworkInterceptor(new ResponseValidator())
          .build();

  /** Adds the upstreams of a manifest, and replaces those whose URL changed. */
  public void apply(Manifest manifest) {
    manifest.upstreams().forEach(this::addOrReplace);
  }

  Optional<UpstreamHost> find(UpstreamId id) {
    return Optional.ofNullable(hosts.get(id));
  }

  private void addOrReplace(Upstream upstream) {
    hosts.compute(
        upstream.id(),
        (id, old) ->
            old != null && old.hasAddress(upstream.url())
                ? old
                : new UpstreamHost(upstream, sharedClient));
  }
}
