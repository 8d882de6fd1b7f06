package org.mustardlatch.daemon.ledger;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.ledger.Attempt;
import org.mustardlatch.core.ledger.KeyAge;
import org.mustardlatch.core.ledger.KeyedCommand;
import org.mustardlatch.core.ledger.KeyedEvent;
import org.mustardlatch.core.ledger.KeyedPolicy;
import org.mustardlatch.core.ledger.KeyedReply;
import org.mustardlatch.core.ledger.KeyedRequest;
import org.mustardlatch.core.ledger.LedgerKey;
import org.mustardlatch.core.ledger.LedgerLimits;
import org.mustardlatch.core.ledger.RunOutcome;
import org.mustardlatch.core.ledger.ShardCommand;
import org.mustardlatch.core.ledger.ShardEvent;
import org.mustardlatch.core.ledger.StartPath;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.WorkspaceId;
import org.mustardlatch.daemon.node.EventLoop;
import org.mustardlatch.daemon.node.Membership;
import org.mustardlatch.daemon.store.ObjectStoreClient;

/**
 * At-most-once execution of keyed requests on this node. Calls return at once; all work is done on
 * one thread of this service.
 */
public final class LedgerService {
  private static final Duration KEEP_UNUSED_SHARD = Duration.ofMinutes(1);
  private static final Duration DRAIN_CHECK = Duration.ofMillis(20);
  private static final int NONCE_BYTES = 16;

  private final HostId self;
  private final Membership membership;
  private final ObjectStoreClient store;
  private final Supplier<LedgerLimits> limits;
  private final KeyedPolicy policy;
  private final InstantSource wallClock;
  private final RandomGenerator random;
  private final EventLoop loop = new EventLoop("ledger");
  private final Map<Integer, ShardRunner> runners = new HashMap<>();
  private final Map<String, ActiveRequest> active = new HashMap<>();

  /** A request that is not over yet. */
  private record ActiveRequest(KeyedRequest request, KeyedCall call) {}

  /**
   * Creates the service.
   *
   * @param self this node
   * @param membership the live nodes and the incarnation of this one
   * @param store client of the object service
   * @param limits limits from the manifest in force; read whenever a shard is opened
   * @param policy waiting times
   * @param wallClock for the times in records only
   * @param random names attempts; must not repeat between processes, so use a secure one
   */
  public LedgerService(
      HostId self,
      Membership membership,
      ObjectStoreClient store,
      Supplier<LedgerLimits> limits,
      KeyedPolicy policy,
      InstantSource wallClock,
      RandomGenerator random) {
    this.self = self;
    this.membership = membership;
    this.store = store;
    this.limits = limits;
    this.policy = policy;
    this.wallClock = wallClock;
    this.random = random;
  }

  /** Starts the periodic removal of shards that are not used. */
  public void start() {
    loop.every(
        KEEP_UNUSED_SHARD,
        () -> runners.values().removeIf(runner -> runner.unusedFor(KEEP_UNUSED_SHARD)));
  }

  /**
   * Begins a keyed request.
   *
   * @param workspace workspace of the caller; keys of different workspaces are independent
   * @param key value of {@code Idempotency-Key}, not empty
   * @param requestDigest digest of method, path and body, 1 to 64 printable ASCII characters
   *     without quote and backslash; a hexadecimal SHA-256 fits
   * @param deadlineNanos final deadline, in the time of {@link System#nanoTime}
   * @throws IllegalArgumentException when key or digest is malformed
   */
  public KeyedCall begin(
      WorkspaceId workspace, String key, String requestDigest, long deadlineNanos) {
    Attempt attempt =
        new Attempt(
            LedgerKey.of(workspace, key),
            requestDigest,
            newNonce(),
            self.value(),
            membership.incarnation());
    KeyedCall call =
        new KeyedCall(deadlineNanos, event -> loop.execute(() -> handle(attempt.nonce(), event)));
    if (KeyAge.expired(key, limits.get().retention(), wallSeconds())) {
      call.completeReply(new KeyedReply.KeyExpired());
      return call;
    }
    KeyedRequest request = new KeyedRequest(attempt, deadlineNanos, policy);
    loop.execute(
        () -> {
          active.put(attempt.nonce(), new ActiveRequest(request, call));
          handle(attempt.nonce(), new KeyedEvent.Begin(false));
        });
    return call;
  }

  /** Completes with true once all records are stored, or with false when the limit is over. */
  public CompletableFuture<Boolean> drain(Duration limit) {
    CompletableFuture<Boolean> drained = new CompletableFuture<>();
    long endNanos = loop.nanos() + limit.toNanos();
    loop.execute(() -> checkDrained(drained, endNanos));
    return drained;
  }

  /** Ends the service's thread. Requests that are not over stay undecided; drain first. */
  public void stop() {
    loop.stop();
  }

  private void checkDrained(CompletableFuture<Boolean> drained, long endNanos) {
    boolean idle = active.isEmpty() && runners.values().stream().allMatch(ShardRunner::idle);
    if (idle || loop.nanos() >= endNanos) {
      drained.complete(idle);
    } else {
      loop.schedule(DRAIN_CHECK, () -> checkDrained(drained, endNanos));
    }
  }

  private void handle(String nonce, KeyedEvent event) {
    ActiveRequest found = active.get(nonce);
    if (found == null) {
      return;
    }
    // A caller that left between the permission to dispatch and its claim was not dispatched.
    boolean dispatchUnclaimed =
        event instanceof KeyedEvent.CallerGone && found.call().mayDispatch().getNow(false);
    List<KeyedCommand> commands = new ArrayList<>();
    found
        .request()
        .handle(
            dispatchUnclaimed ? new KeyedEvent.RunEnded(new RunOutcome.NotSent()) : event,
            loop.nanos(),
            commands::add);
    commands.forEach(command -> execute(nonce, found, command));
    if (found.request().done()) {
      active.remove(nonce);
    }
  }

  private void execute(String nonce, ActiveRequest active, KeyedCommand command) {
    switch (command) {
      case KeyedCommand.StartDirectly c ->
          shard(c.attempt().key()).handle(new ShardEvent.StartRequested(c.attempt()));
      case KeyedCommand.CancelDirectly c ->
          shard(c.attempt().key())
              .handle(new ShardEvent.CancelRequested(c.attempt(), c.leaveMark()));
      case KeyedCommand.FinishDirectly c -> shard(c.request().key()).handle(c.request());
      case KeyedCommand.ForwardStart c -> {}
      case KeyedCommand.ForwardFinish c -> {}
      case KeyedCommand.Dispatch c -> dispatch(nonce, active.call());
      case KeyedCommand.Reply c -> active.call().completeReply(c.reply());
      case KeyedCommand.SetTimer c ->
          loop.schedule(
              Duration.ofNanos(c.atNanos() - loop.nanos()),
              () -> handle(nonce, new KeyedEvent.TimerFired(c.timer())));
    }
  }

  private void dispatch(String nonce, KeyedCall call) {
    if (call.callerIsGone()) {
      handle(nonce, new KeyedEvent.RunEnded(new RunOutcome.NotSent()));
    } else {
      call.completeDispatch();
    }
  }

  private ShardRunner shard(LedgerKey key) {
    return runners.computeIfAbsent(
        key.shard(),
        shard ->
            new ShardRunner(shard, limits.get(), store, loop, this::wallSeconds, this::answered));
  }

  private void answered(ShardCommand command) {
    @Nullable KeyedEvent event =
        switch (command) {
          case ShardCommand.StartAnswer a ->
              new KeyedEvent.StartAnswered(StartPath.DIRECT, a.result());
          case ShardCommand.CancelAnswer a -> new KeyedEvent.Cancelled();
          case ShardCommand.FinishAnswer a -> new KeyedEvent.FinishAnswered(a.stored());
          default -> null;
        };
    if (event != null) {
      handle(nonceOf(command), event);
    }
  }

  private static String nonceOf(ShardCommand command) {
    return switch (command) {
      case ShardCommand.StartAnswer a -> a.attempt().nonce();
      case ShardCommand.CancelAnswer a -> a.attempt().nonce();
      case ShardCommand.FinishAnswer a -> a.nonce();
      default -> throw new IllegalArgumentException("not an answer: " + command);
    };
  }

  private long wallSeconds() {
    return wallClock.instant().getEpochSecond();
  }

  private String newNonce() {
    byte[] bytes = new byte[NONCE_BYTES];
    random.nextBytes(bytes);
    return HexFormat.of().formatHex(bytes);
  }
}
