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
 * Polls the platform's host list (object {@code hosts/current}) and reports upstreams on leaving
 * (draining) hosts. Only the nodes that watch the manifest poll the list, so that the load on the
 * object service does not grow with the fleet; those nodes propagate what they read to the other
 * nodes through the routing logic.
 *
 * <p>The object's {@code spec.hosts} is an array of entries with an {@code address} (IP address, or
 * IP address and port) and a {@code state} ({@code live} or {@code leaving}). Entries in any other
 * form are ignored.
 */
public final class HostListPoller implements PeerServiceListener {
  private static final Duration READ_PERIOD = Duration.ofSeconds(2);

  private final ObjectStoreClient store;
  private final ActiveManifest activeManifest;
  private final TimerService timers;
  private final Consumer<UpstreamId> leavingListener;
  private TimerSubscription subscription = () -> {};

  /**
   * Creates a poller that is idle until this node is selected to watch the manifest.
   *
   * @param leavingListener called for each upstream on a leaving host, on every read
   */
  public HostListPoller(
      ObjectStoreClient store,
      ActiveManifest activeManifest,
      TimerService timers,
      Consumer<UpstreamId> leavingListener) {
    this.store = store;
    this.activeManifest = activeManifest;
    this.timers = timers;
    this.leavingListener = leavingListener;
  }

  @Override
  public synchronized void watchManifest(boolean watch) {
    subscription.cancel();
    subscription = watch ? timers.scheduleRepeating(READ_PERIOD, this::read) : () -> {};
  }

  /** Stops polling. */
  public synchronized void stop() {
    subscription.cancel();
  }

  private void read() {
    var unused =
        store
            .get("hosts", "current")
            .thenAccept(
                result -> {
                  // A failed read is ignored; the next period reads the list again.
                  if (result instanceof ReadResult.Found found) {
                    reportLeavingHosts(found.object().spec().path("hosts"));
                  }
                });
  }

  private void reportLeavingHosts(JsonNode hosts) {
    Set<String> addresses = new HashSet<>();
    for (JsonNode host : hosts) {
      if (host.path("state").asText().equals("leaving")) {
        addresses.add(host.path("address").asText());
      }
    }
    if (addresses.isEmpty()) {
      return;
    }
    activeManifest.current().ifPresent(applied -> reportUpstreams(addresses, applied));
  }

  private void reportUpstreams(Set<String> addresses, AppliedManifest applied) {
    for (Upstream u : applied.manifest().upstreams()) {
      URI url = u.url();
      if (addresses.contains(url.getHost()) || addresses.contains(url.getAuthority())) {
        leavingListener.accept(u.id());
      }
    }
  }
}
