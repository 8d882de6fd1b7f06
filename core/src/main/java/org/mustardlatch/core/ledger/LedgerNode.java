package org.mustardlatch.core.ledger;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RegionId;
import org.mustardlatch.core.peer.LedgerMessage;
import org.mustardlatch.core.routing.Member;

/**
 * The ledger of one node: its keyed requests, its shard writers, and what it writes for other
 * nodes. Not safe for use by several threads.
 */
public final class LedgerNode {
  private final HostId self;
  private final String noncePrefix;
  private final Supplier<LedgerLimits> limits;
  private final KeyedPolicy policy;
  private final LedgerOutput out;
  private final Map<String, KeyedRequest> requests = new HashMap<>();
  private final Map<Integer, ShardWriter> writers = new HashMap<>();
  private final Map<String, HostId> finishesForOthers = new HashMap<>();
  private final Queue<Runnable> work = new ArrayDeque<>();
  private List<Member> live = List.of();
  private Optional<RegionId> storeRegion = Optional.empty();
  private Now now = new Now(0, 0);
  private boolean working;

  /**
   * Creates the ledger of a node.
   *
   * @param noncePrefix starts the nonces of this process and of no other, 16 lower-case hexadecimal
   *     digits
   * @param limits limits from the manifest in force; read whenever a shard is opened
   */
  public LedgerNode(
      HostId self,
      String noncePrefix,
      Supplier<LedgerLimits> limits,
      KeyedPolicy policy,
      LedgerOutput out) {
    if (!noncePrefix.matches("[0-9a-f]{16}")) {
      throw new IllegalArgumentException(
          "a nonce prefix has 16 hexadecimal digits, got " + noncePrefix);
    }
    this.self = self;
    this.noncePrefix = noncePrefix;
    this.limits = limits;
    this.policy = policy;
    this.out = out;
  }

  /** Replaces the live nodes; with none, or itself as owner, the node writes directly. */
  public void setMembers(List<Member> members, Optional<RegionId> regionOfStore) {
    live = List.copyOf(members);
    storeRegion = regionOfStore;
  }

  /**
   * Begins a request.
   *
   * @param attempt a new attempt of this node, its nonce with the prefix of this process
   * @param deadlineNanos final deadline, monotonic time
   */
  public void begin(Attempt attempt, long deadlineNanos, Now time) {
    if (!attempt.nonce().startsWith(noncePrefix)) {
      throw new IllegalArgumentException("nonce " + attempt.nonce() + " is not of this process");
    }
    KeyedRequest request = new KeyedRequest(attempt, deadlineNanos, policy);
    requests.put(attempt.nonce(), request);
    boolean forward = ownerOf(attempt.key()).isPresent();
    turn(time, () -> keyed(attempt.nonce(), new KeyedEvent.Begin(forward)));
  }

  /** Handles an event of a request; does nothing when the request is over. */
  public void handle(String nonce, KeyedEvent event, Now time) {
    turn(time, () -> keyed(nonce, event));
  }

  /** Handles an event of a shard. */
  public void handle(int shard, ShardEvent event, Now time) {
    turn(time, () -> shard(shard, event));
  }

  /**
   * Handles a message.
   *
   * @param from sender
   * @param incarnation incarnation of the sender
   * @throws IllegalArgumentException when a value of the message is malformed
   */
  public void receive(HostId from, long incarnation, LedgerMessage message, Now time) {
    switch (message) {
      case LedgerMessage.LedgerStart m -> {
        Attempt attempt = LedgerMessages.attempt(m, from, incarnation);
        turn(time, () -> shard(attempt.key().shard(), new ShardEvent.StartRequested(attempt)));
      }
      case LedgerMessage.LedgerStarted m -> {
        KeyedEvent event = LedgerMessages.event(m);
        LedgerKey key = new LedgerKey(m.key());
        turn(time, () -> startedOrLate(key, m.requestedNonce(), event));
      }
      case LedgerMessage.LedgerFinish m -> {
        ShardEvent.FinishRequested finish = LedgerMessages.finishRequest(m);
        finishesForOthers.put(finish.nonce(), from);
        turn(time, () -> shard(finish.key().shard(), finish));
      }
    }
  }

  /** Returns whether no request is open and every record is stored. */
  public boolean idle() {
    return requests.isEmpty() && writers.values().stream().allMatch(ShardWriter::idle);
  }

  /** Drops the content of shards that have nothing pending; it is read again when needed. */
  public void dropIdleShards() {
    writers.values().removeIf(ShardWriter::idle);
  }

  /** Runs a task and everything that follows from it, one event at a time. */
  private void turn(Now time, Runnable task) {
    now = time;
    work.add(task);
    if (working) {
      return;
    }
    working = true;
    try {
      for (Runnable next = work.poll(); next != null; next = work.poll()) {
        next.run();
      }
    } finally {
      working = false;
    }
  }

  private void keyed(String nonce, KeyedEvent event) {
    KeyedRequest request = requests.get(nonce);
    if (request == null) {
      return;
    }
    List<KeyedCommand> commands = new ArrayList<>();
    request.handle(event, now.nanos(), commands::add);
    commands.forEach(command -> execute(nonce, command));
    if (request.done()) {
      requests.remove(nonce);
    }
  }

  private void execute(String nonce, KeyedCommand command) {
    switch (command) {
      case KeyedCommand.ForwardStart c ->
          forward(
              c.attempt().key(),
              LedgerMessages.start(c.attempt()),
              new ShardEvent.StartRequested(c.attempt()));
      case KeyedCommand.ForwardFinish c ->
          forward(c.request().key(), LedgerMessages.finish(c.request()), c.request());
      case KeyedCommand.StartDirectly c ->
          later(c.attempt().key(), new ShardEvent.StartRequested(c.attempt()));
      case KeyedCommand.FinishDirectly c -> later(c.request().key(), c.request());
      case KeyedCommand.CancelDirectly c ->
          later(c.attempt().key(), new ShardEvent.CancelRequested(c.attempt(), c.leaveMark()));
      case KeyedCommand.Dispatch c -> out.dispatch(nonce);
      case KeyedCommand.Reply c -> out.reply(nonce, c.reply());
      case KeyedCommand.SetTimer c -> out.setTimer(nonce, c.timer(), c.atNanos());
    }
  }

  /** Sends to the owner, which is this node when membership has changed since the start. */
  private void forward(LedgerKey key, LedgerMessage message, ShardEvent own) {
    Optional<HostId> owner = ownerOf(key);
    if (owner.isPresent()) {
      out.send(owner.get(), message);
    } else {
      later(key, own);
    }
  }

  private void later(LedgerKey key, ShardEvent event) {
    work.add(() -> shard(key.shard(), event));
  }

  private void shard(int shard, ShardEvent event) {
    ShardWriter writer = writers.computeIfAbsent(shard, s -> new ShardWriter(limits.get()));
    List<ShardCommand> commands = new ArrayList<>();
    writer.handle(event, now.nanos(), now.wallSeconds(), commands::add);
    commands.forEach(command -> execute(shard, command));
  }

  private void execute(int shard, ShardCommand command) {
    switch (command) {
      case ShardCommand.Read c -> out.read(shard);
      case ShardCommand.Write c -> out.write(shard, c.version(), c.content());
      case ShardCommand.WakeAt c -> out.wake(shard, c.atNanos());
      case ShardCommand.StartAnswer c -> startAnswer(c);
      case ShardCommand.CancelAnswer c ->
          work.add(() -> keyed(c.attempt().nonce(), new KeyedEvent.Cancelled()));
      case ShardCommand.FinishAnswer c -> finishAnswer(c);
    }
  }

  private void startAnswer(ShardCommand.StartAnswer c) {
    Attempt attempt = c.attempt();
    KeyedEvent event = new KeyedEvent.StartAnswered(StartPath.DIRECT, c.result());
    if (attempt.nonce().startsWith(noncePrefix)) {
      work.add(() -> startedOrLate(attempt.key(), attempt.nonce(), event));
    } else if (!attempt.host().equals(self.value())) {
      out.send(new HostId(attempt.host()), LedgerMessages.answer(attempt, c.result()));
    }
  }

  /**
   * Handles an answer to a start. A request of this process that is over was either not dispatched,
   * and then a record made late for it would block its key, or its end is stored, and then
   * cancelling changes nothing.
   */
  private void startedOrLate(LedgerKey key, String nonce, KeyedEvent event) {
    boolean started =
        event instanceof KeyedEvent.StartAnswered a && a.result() instanceof StartResult.Started;
    if (requests.containsKey(nonce)) {
      keyed(nonce, event);
    } else if (started && nonce.startsWith(noncePrefix)) {
      Attempt late = new Attempt(key, "-", nonce, self.value(), 0);
      later(key, new ShardEvent.CancelRequested(late, false));
    }
  }

  private void finishAnswer(ShardCommand.FinishAnswer c) {
    @Nullable HostId asker = finishesForOthers.remove(c.nonce());
    if (asker == null) {
      work.add(() -> keyed(c.nonce(), new KeyedEvent.FinishAnswered(c.stored())));
    } else if (c.stored()) {
      out.send(asker, LedgerMessages.finished(c.key(), c.nonce()));
    }
  }

  /** Returns the owner when it is another node. */
  private Optional<HostId> ownerOf(LedgerKey key) {
    return ShardOwners.owner(key.shard(), live, storeRegion).filter(h -> !h.equals(self));
  }
}
