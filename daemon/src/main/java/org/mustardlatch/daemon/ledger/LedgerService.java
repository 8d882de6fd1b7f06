package org.mustardlatch.daemon.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.ledger.Attempt;
import org.mustardlatch.core.ledger.ClockReading;
import org.mustardlatch.core.ledger.DispatchOutcome;
import org.mustardlatch.core.ledger.KeyAge;
import org.mustardlatch.core.ledger.KeyedRequestEvent;
import org.mustardlatch.core.ledger.KeyedRequestTimer;
import org.mustardlatch.core.ledger.KeyedResponse;
import org.mustardlatch.core.ledger.LedgerKey;
import org.mustardlatch.core.ledger.LedgerNode;
import org.mustardlatch.core.ledger.LedgerOutput;
import org.mustardlatch.core.ledger.ShardEvent;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.WorkspaceId;
import org.mustardlatch.core.peer.LedgerMessage;
import org.mustardlatch.core.time.TimerSubscription;
import org.mustardlatch.daemon.node.EventLoop;
import org.mustardlatch.daemon.node.Membership;
import org.mustardlatch.daemon.store.ObjectStoreClient;

/**
 * Ensures that each keyed request (a request with an {@code Idempotency-Key}) is dispatched at most
 * once. Public methods may be called on any thread and do not block; all work is done on one thread
 * of this service.
 */
public final class LedgerService {
  private static final Duration IDLE_SHARD_REMOVAL_PERIOD = Duration.ofMinutes(1);
  private static final Duration DRAIN_CHECK_PERIOD = Duration.ofMillis(20);

  /** Length of each half of a nonce: the prefix of this process and the part of one attempt. */
  private static final int NONCE_HALF_BYTES = 8;

  private final LedgerSettings settings;
  private final Membership membership;
  private final Optional<LedgerPeerSender> peers;
  private final InstantSource wallClock;
  private final RandomGenerator random;
  private final String noncePrefix;
  private final EventLoop loop = new EventLoop("ledger");
  private final ShardStoreClient storeClient;
  private final LedgerNode node;
  private final Map<String, KeyedRequestHandle> openRequests = new HashMap<>();
  private final Map<Integer, TimerSubscription> shardTimers = new HashMap<>();

  /**
   * Creates the service.
   *
   * @param membership the live nodes and the incarnation of this one
   * @param store client of the object service
   * @param peers sends messages to the nodes that own shards; empty to write every shard from this
   *     node
   * @param wallClock used only for the times in records
   * @param random generates the nonces of attempts; must be secure, because nonces must not repeat
   *     between processes
   */
  public LedgerService(
      LedgerSettings settings,
      Membership membership,
      ObjectStoreClient store,
      Optional<LedgerPeerSender> peers,
      InstantSource wallClock,
      RandomGenerator random) {
    this.settings = settings;
    this.membership = membership;
    this.peers = peers;
    this.wallClock = wallClock;
    this.random = random;
    noncePrefix = randomHex();
    storeClient = new ShardStoreClient(store, loop);
    node =
        new LedgerNode(
            settings.self(),
            noncePrefix,
            settings.limits(),
            settings.timeouts(),
            new OutputHandler());
  }

  /** Starts the periodic removal of idle shards. */
  public void start() {
    loop.scheduleRepeating(IDLE_SHARD_REMOVAL_PERIOD, node::dropIdleShards);
  }

  /**
   * Begins a keyed request.
   *
   * @param workspace workspace of the caller; keys of different workspaces are independent
   * @param key value of {@code Idempotency-Key}, not empty
   * @param requestDigest digest of method, path and body, 1 to 64 printable ASCII characters
   *     without quote and backslash; a hexadecimal SHA-256 fits
   * @param deadlineNanos final deadline of the request, on the clock of {@link System#nanoTime}
   * @throws IllegalArgumentException when the key or the digest is malformed
   */
  public KeyedRequestHandle begin(
      WorkspaceId workspace, String key, String requestDigest, long deadlineNanos) {
    Attempt attempt =
        new Attempt(
            LedgerKey.of(workspace, key),
            requestDigest,
            noncePrefix + randomHex(),
            settings.self().value(),
            membership.incarnation());
    String nonce = attempt.nonce();
    KeyedRequestHandle request =
        new KeyedRequestHandle(
            deadlineNanos, (source, event) -> loop.execute(() -> handle(nonce, source, event)));
    if (KeyAge.isExpired(key, settings.limits().get().retention(), now().wallClockSeconds())) {
      request.completeResponse(new KeyedResponse.KeyExpired());
      return request;
    }
    loop.execute(
        () -> {
          openRequests.put(nonce, request);
          node.setMembers(
              peers.isPresent() ? membership.liveMembers() : List.of(), settings.storeRegion());
          node.begin(attempt, deadlineNanos, now());
        });
    return request;
  }

  /**
   * Handles a ledger message of another node.
   *
   * @param incarnation incarnation of the sender
   */
  public void receive(HostId from, long incarnation, LedgerMessage message) {
    loop.execute(() -> node.receive(from, incarnation, message, now()));
  }

  /**
   * Returns a future that completes with true once the records of all requests are stored, or with
   * false when the timeout expires first.
   */
  public CompletableFuture<Boolean> drain(Duration timeout) {
    CompletableFuture<Boolean> drained = new CompletableFuture<>();
    long drainDeadlineNanos = loop.nanos() + timeout.toNanos();
    loop.execute(() -> checkDrained(drained, drainDeadlineNanos));
    return drained;
  }

  /**
   * Stops the thread of the service. Requests in progress get no response, so {@link #drain} is to
   * be called before.
   */
  public void stop() {
    loop.stop();
  }

  private void checkDrained(CompletableFuture<Boolean> drained, long drainDeadlineNanos) {
    if (node.isIdle() || loop.nanos() - drainDeadlineNanos >= 0) {
      drained.complete(node.isIdle());
    } else {
      loop.schedule(DRAIN_CHECK_PERIOD, () -> checkDrained(drained, drainDeadlineNanos));
    }
  }

  private void handle(String nonce, KeyedRequestHandle request, KeyedRequestEvent event) {
    // The caller disconnected after the dispatch was permitted but before it was claimed, so the
    // request was not sent.
    boolean dispatchUnclaimed =
        event instanceof KeyedRequestEvent.CallerDisconnected
            && request.dispatchPermitted().getNow(false);
    node.handle(
        nonce,
        dispatchUnclaimed
            ? new KeyedRequestEvent.DispatchEnded(new DispatchOutcome.NotSent())
            : event,
        now());
  }

  private ClockReading now() {
    return new ClockReading(loop.nanos(), wallClock.instant().getEpochSecond());
  }

  private String randomHex() {
    byte[] bytes = new byte[NONCE_HALF_BYTES];
    random.nextBytes(bytes);
    return HexFormat.of().formatHex(bytes);
  }

  /**
   * Executes the outputs of the ledger node; every result is handled as a later task of the loop.
   */
  private final class OutputHandler implements LedgerOutput {
    @Override
    public void read(int shard) {
      storeClient.read(shard, shardEventConsumer(shard));
    }

    @Override
    public void write(int shard, String version, JsonNode content) {
      storeClient.write(shard, version, content, shardEventConsumer(shard));
    }

    private Consumer<ShardEvent> shardEventConsumer(int shard) {
      return event -> node.handle(shard, event, now());
    }

    @Override
    public void setShardTimer(int shard, long atNanos) {
      @Nullable TimerSubscription previous =
          shardTimers.put(
              shard,
              loop.schedule(
                  Duration.ofNanos(atNanos - loop.nanos()),
                  () -> node.handle(shard, new ShardEvent.TimerFired(), now())));
      if (previous != null) {
        previous.cancel();
      }
    }

    @Override
    public void setRequestTimer(String nonce, KeyedRequestTimer timer, long atNanos) {
      loop.schedule(
          Duration.ofNanos(atNanos - loop.nanos()),
          () -> node.handle(nonce, new KeyedRequestEvent.TimerFired(timer), now()));
    }

    @Override
    public void dispatch(String nonce) {
      KeyedRequestHandle request = openRequests.get(nonce);
      if (request == null || request.isCancelled()) {
        KeyedRequestEvent notSent =
            new KeyedRequestEvent.DispatchEnded(new DispatchOutcome.NotSent());
        loop.execute(() -> node.handle(nonce, notSent, now()));
      } else {
        request.permitDispatch();
      }
    }

    @Override
    public void respond(String nonce, KeyedResponse response) {
      KeyedRequestHandle request = openRequests.remove(nonce);
      if (request != null) {
        request.completeResponse(response);
      }
    }

    @Override
    public void send(HostId to, LedgerMessage message) {
      peers.ifPresent(p -> p.send(to, message));
    }
  }
}
