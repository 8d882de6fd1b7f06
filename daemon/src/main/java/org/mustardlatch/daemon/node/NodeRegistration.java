package org.mustardlatch.daemon.node;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntSupplier;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.core.time.TimerSubscription;
import org.mustardlatch.daemon.peer.PeerService;
import org.mustardlatch.daemon.store.ObjectStoreClient;
import org.mustardlatch.daemon.store.ReadResult;
import org.mustardlatch.daemon.store.StoredObject;
import org.mustardlatch.daemon.store.WriteResult;

/**
 * Registers this node in the object service (kind {@code nodes}) and discovers other nodes there,
 * so that a node can join even if no seed responds. If the object service is unavailable, the node
 * joins through its seeds. The list is read again only while this node is the only live member,
 * which normally limits the reads to one per start.
 */
public final class NodeRegistration {
  private static final String KIND = "nodes";
  private static final Duration RETRY_PERIOD = Duration.ofSeconds(5);

  private final HostId host;
  private final ObjectStoreClient store;
  private final PeerService peers;
  private final TimerService timers;
  private final IntSupplier liveMemberCount;
  private TimerSubscription subscription = () -> {};
  private volatile boolean registered;
  private volatile boolean onlyNode;

  /**
   * Creates a registration that is not started.
   *
   * @param liveMemberCount returns the number of live nodes, including this node
   */
  public NodeRegistration(
      HostId host,
      ObjectStoreClient store,
      PeerService peers,
      TimerService timers,
      IntSupplier liveMemberCount) {
    this.host = host;
    this.store = store;
    this.peers = peers;
    this.timers = timers;
    this.liveMemberCount = liveMemberCount;
  }

  /**
   * Registers this node and looks for other nodes. The registration is retried until it has
   * succeeded; the search is repeated while this node is the only live member.
   *
   * @param address peer address at which other nodes can reach this node
   */
  public synchronized void start(InetSocketAddress address) {
    String text = address.getAddress().getHostAddress() + ":" + address.getPort();
    registerAndDiscover(text);
    subscription = timers.scheduleRepeating(RETRY_PERIOD, () -> registerAndDiscover(text));
  }

  /** Stops retrying the registration and searching for nodes. */
  public synchronized void stop() {
    subscription.cancel();
  }

  /** Returns whether the list of nodes was read at the start and has no other node. */
  public boolean isOnlyNode() {
    return onlyNode;
  }

  private void registerAndDiscover(String address) {
    if (!registered) {
      register(address);
    }
    if (liveMemberCount.getAsInt() < 2) {
      AtomicBoolean failed = new AtomicBoolean();
      var unused =
          store
              .list(KIND, reason -> failed.set(true))
              .thenAccept(
                  found -> {
                    if (!failed.get()) {
                      reportListedNodes(found, address);
                    }
                  });
    }
  }

  private void register(String address) {
    ObjectNode spec = JsonNodeFactory.instance.objectNode().put("address", address);
    var unused =
        store
            .get(KIND, host.value())
            .thenAccept(
                read -> {
                  switch (read) {
                    case ReadResult.Found f -> write(f.object().version(), spec);
                    case ReadResult.NotFound n -> write("", spec);
                    case ReadResult.Failed f -> {}
                  }
                });
  }

  private void write(String version, ObjectNode spec) {
    var unused =
        store
            .put(KIND, host.value(), version, spec)
            .thenAccept(
                written -> {
                  if (written instanceof WriteResult.Stored) {
                    registered = true;
                  }
                });
  }

  private void reportListedNodes(List<StoredObject> found, String own) {
    List<String> addresses =
        found.stream()
            .filter(o -> !o.name().equals(host.value()))
            .map(o -> o.spec().path("address").asText())
            .filter(a -> !a.isEmpty() && !a.equals(own))
            .toList();
    onlyNode = addresses.isEmpty();
    if (!addresses.isEmpty()) {
      peers.nodesListed(addresses);
    }
  }
}
