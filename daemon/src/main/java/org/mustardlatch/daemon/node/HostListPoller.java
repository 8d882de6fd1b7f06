package org.mustardlatch.daemon.node;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.mustardlatch.core.manifest.Upstream;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.core.time.TimerSubscription;
import org.mustardlatch.daemon.peer.PeerServiceListener;
import org.mustardlatch.daemon.store.ObjectStoreClient;
import org.mustardlatch.daemon.store.ReadResult;

/**
 * Reads the platform's host list (object {@code hosts/current}) and reports upstreams on hosts that
 * leave. Only the nodes that watch the manifest read it, so that its cost does not grow with the
 * fleet; the routing decisions spread what they see.
 *
 * <p>The object's {@code spec.hosts} is an array of {@code address} (IP number, or IP number and
 * port) and {@code state} ({@code live} or {@code leaving}). Other entries are ignored.
 */
public final class HostListPoller implements PeerServiceListener {
  private static final Duration READ_PERIOD = Duration.ofSeconds(2);

  private final ObjectStoreClient store;
  private final ActiveManifest manifest;
  private final TimerService timers;
  private final Consumer<UpstreamId> leavingListener;
  private TimerSubscription subscription = () -> {};

  /**
   * Creates a service that reads nothing before this node is told to watch.
   *
   * @param leaving called for each upstream on a leaving host, again at every reading
   */
  public HostListPoller(
      ObjectStoreClient store,
      ActiveManifest manifest,
      TimerService timers,
      Consumer<UpstreamId> leaving) {
    this.store = store;
    this.manifest = manifest;
    this.timers = timers;
    this.leavingListener = leaving;
  }

  @Override
  public synchronized void watchManifest(boolean watch) {
    subscription.cancel();
    subscription = watch ? timers.scheduleRepeating(READ_PERIOD, this::read) : () -> {};
  }

  /** Stops reading. */
  public synchronized void stop() {
    subscription.cancel();
  }

  private void read() {
    var unused =
        store
            .get("hosts", "current")
            .thenAccept(
                result -> {
                  // While the object service is down the list stays as it was.
                  if (result instanceof ReadResult.Found found) {
                    report(found.object().spec().path("hosts"));
                  }
                });
  }

  private void report(JsonNode hosts) {
    Set<String> addresses = new HashSet<>();
    for (JsonNode host : hosts) {
      if (host.path("state").asText().equals("leaving")) {
        addresses.add(host.path("address").asText());
      }
    }
    if (addresses.isEmpty()) {
      return;
    }
    manifest.current().ifPresent(applied -> report(addresses, applied));
  }

  private void report(Set<String> addresses, AppliedManifest applied) {
    for (Upstream u : applied.manifest().upstreams()) {
      URI url = u.url();
      if (addresses.contains(url.getHost()) || addresses.contains(url.getAuthority())) {
        leavingListener.accept(u.id());
      }
    }
  }
}
