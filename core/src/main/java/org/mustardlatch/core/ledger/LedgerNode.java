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
 * The ledger of one node: its keyed requests and its shard writers, which also write for other
 * nodes. Not thread-safe; all calls must come from one thread.
 */
public final class LedgerNode {
  private final HostId self;
  private final String noncePrefix;
  private final Supplier<LedgerLimits> limits;
  private final KeyedRequestTimeouts timeouts;
  private final LedgerOutput out;
  private final Map<String, KeyedRequest> requests = new HashMap<>();
  private final Map<Integer, ShardWriter> writers = new HashMap<>();
  private final Map<String, HostId> finishRequesters = new HashMap<>();
  private final Queue<Runnable> queue = new ArrayDeque<>();
  private List<Member> liveMembers = List.of();
  private Optional<RegionId> storeRegion = Optional.empty();
  private ClockReading now = new ClockReading(0, 0);
  private boolean processing;

  /**
   * Creates the ledger of a node.
   *
   * @param noncePrefix prefix of all nonces of this process and of no other process, 16 lower-case
   *     hexadecimal digits
   * @param limits supplies the limits of the active manifest; read whenever a shard writer is
   *     created
   */
  public LedgerNode(
      HostId self,
      String noncePrefix,
      Supplier<LedgerLimits> limits,
      KeyedRequestTimeouts timeouts,
      LedgerOutput out) {
    if (!noncePrefix.matches("[0-9a-f]{16}")) {
      throw new IllegalArgumentException(
          "a nonce prefix must have 16 hexadecimal digits, got " + noncePrefix);
    }
    this.self = self;
    this.noncePrefix = noncePrefix;
    this.limits = limits;
    this.timeouts = timeouts;
    this.out = out;
  }

  /**
   * Replaces the live nodes from which shard owners are chosen. Without live nodes, or if this node
   * is the owner of a shard, this node writes the records itself.
   *
   * @param regionOfStore region of the object service; empty if unknown
   */
  public void setMembers(List<Member> members, Optional<RegionId> regionOfStore) {
    liveMembers = List.copyOf(members);
    storeRegion = regionOfStore;
  }

  /**
   * Begins a keyed request.
   *
   * @param attempt a new attempt of this node; its nonce starts with the nonce prefix of this
   *     process
   * @param deadlineNanos final deadline of the request, monotonic time
   */
  public void begin(Attempt attempt, long deadlineNanos, ClockReading clock) {
    if (!attempt.nonce().startsWith(noncePrefix)) {
      throw new IllegalArgumentException(
          "nonce " + attempt.nonce() + " does not have the prefix of this process");
    }
    KeyedRequest request = new KeyedRequest(attempt, deadlineNanos, timeouts);
    requests.put(attempt.nonce(), request);
    boolean forward = remoteOwnerOf(attempt.key()).isPresent();
    process(
        clock, () -> handleRequestEvent(attempt.nonce(), new KeyedRequestEvent.Accepted(forward)));
  }

  /** Handles an event of a request; does nothing if the request is done. */
  public void handle(String nonce, KeyedRequestEvent event, ClockReading clock) {
    process(clock, () -> handleRequestEvent(nonce, event));
  }

  /** Handles an event of a shard. */
  public void handle(int shard, ShardEvent event, ClockReading clock) {
    process(clock, () -> handleShardEvent(shard, event));
  }

  /**
   * Handles a ledger message of another node.
   *
   * @param from sender
   * @param incarnation incarnation of the sender
   * @throws IllegalArgumentException if a value of the message is malformed
   */
  public void receive(HostId from, long incarnation, LedgerMessage message, ClockReading clock) {
    switch (message) {
      case LedgerMessage.LedgerStart m -> {
        Attempt attempt = LedgerMessageTranslator.toAttempt(m, from, incarnation);
        process(
            clock,
            () -> handleShardEvent(attempt.key().shard(), new ShardEvent.StartRequested(attempt)));
      }
      case LedgerMessage.LedgerStarted m -> {
        KeyedRequestEvent event = LedgerMessageTranslator.toEvent(m);
        LedgerKey key = new LedgerKey(m.key());
        process(clock, () -> handleWriterResponse(key, m.requestedNonce(), event));
      }
      case LedgerMessage.LedgerFinish m -> {
        ShardEvent.FinishRequested finish = LedgerMessageTranslator.toFinishRequest(m);
        finishRequesters.put(finish.nonce(), from);
        process(clock, () -> handleShardEvent(finish.key().shard(), finish));
      }
    }
  }

  /** Returns whether no request is open and no change is pending in any shard. */
  public boolean isIdle() {
    return requests.isEmpty() && writers.values().stream().allMatch(ShardWriter::isIdle);
  }

  /**
   * Discards the writers of shards without pending changes and so their cached content, which is
   * read again when needed.
   */
  public void dropIdleShards() {
    writers.values().removeIf(ShardWriter::isIdle);
  }

  /** Runs a task and all tasks that it enqueues, one after the other. */
  private void process(ClockReading clock, Runnable task) {
    now = clock;
    queue.add(task);
    if (processing) {
      return;
    }
    processing = true;
    try {
      for (Runnable next = queue.poll(); next != null; next = queue.poll()) {
        next.run();
      }
    } finally {
      processing = false;
    }
  }

  private void handleRequestEvent(String nonce, KeyedRequestEvent event) {
    KeyedRequest request = requests.get(nonce);
    if (request == null) {
      return;
    }
    List<KeyedRequestCommand> commands = new ArrayList<>();
    request.handle(event, now.monotonicNanos(), commands::add);
    commands.forEach(command -> execute(nonce, command));
    if (request.isDone()) {
      requests.remove(nonce);
    }
  }

  private void execute(String nonce, KeyedRequestCommand command) {
    switch (command) {
      case KeyedRequestCommand.ForwardStart c ->
          forward(
              c.attempt().key(),
              LedgerMessageTranslator.toStartMessage(c.attempt()),
              new ShardEvent.StartRequested(c.attempt()));
      case KeyedRequestCommand.ForwardFinish c ->
          forward(
              c.request().key(), LedgerMessageTranslator.toFinishMessage(c.request()), c.request());
      case KeyedRequestCommand.StartLocally c ->
          enqueueShardEvent(c.attempt().key(), new ShardEvent.StartRequested(c.attempt()));
      case KeyedRequestCommand.FinishLocally c -> enqueueShardEvent(c.request().key(), c.request());
      case KeyedRequestCommand.CancelLocally c ->
          enqueueShardEvent(
              c.attempt().key(), new ShardEvent.CancelRequested(c.attempt(), c.createIfAbsent()));
      case KeyedRequestCommand.Dispatch c -> out.dispatch(nonce);
      case KeyedRequestCommand.Respond c -> out.respond(nonce, c.response());
      case KeyedRequestCommand.SetTimer c -> out.setRequestTimer(nonce, c.timer(), c.atNanos());
    }
  }

  /**
   * Sends the message to the owner of the shard, or enqueues the event if this node became the
   * owner by a membership change since the start.
   */
  private void forward(LedgerKey key, LedgerMessage message, ShardEvent localEvent) {
    Optional<HostId> owner = remoteOwnerOf(key);
    if (owner.isPresent()) {
      out.send(owner.get(), message);
    } else {
      enqueueShardEvent(key, localEvent);
    }
  }

  private void enqueueShardEvent(LedgerKey key, ShardEvent event) {
    queue.add(() -> handleShardEvent(key.shard(), event));
  }

  private void handleShardEvent(int shard, ShardEvent event) {
    ShardWriter writer = writers.computeIfAbsent(shard, s -> new ShardWriter(limits.get()));
    List<ShardCommand> commands = new ArrayList<>();
    writer.handle(event, now.monotonicNanos(), now.wallClockSeconds(), commands::add);
    commands.forEach(command -> execute(shard, command));
  }

  private void execute(int shard, ShardCommand command) {
    switch (command) {
      case ShardCommand.Read c -> out.read(shard);
      case ShardCommand.Write c -> out.write(shard, c.version(), c.content());
      case ShardCommand.SetTimer c -> out.setShardTimer(shard, c.atNanos());
      case ShardCommand.StartResponse c -> deliverStartResponse(c);
      case ShardCommand.CancelResponse c ->
          queue.add(
              () ->
                  handleRequestEvent(
                      c.attempt().nonce(), new KeyedRequestEvent.CancelResponseReceived()));
      case ShardCommand.FinishResponse c -> deliverFinishResponse(c);
    }
  }

  private void deliverStartResponse(ShardCommand.StartResponse c) {
    Attempt attempt = c.attempt();
    KeyedRequestEvent event =
        new KeyedRequestEvent.StartResponseReceived(ResponseSource.LOCAL, c.result());
    if (attempt.nonce().startsWith(noncePrefix)) {
      queue.add(() -> handleWriterResponse(attempt.key(), attempt.nonce(), event));
    } else if (!attempt.host().equals(self.value())) {
      out.send(
          new HostId(attempt.host()), LedgerMessageTranslator.toStartResponse(attempt, c.result()));
    }
  }

  /**
   * Handles the response of a shard writer to a start, or of the owner of a shard to a finish. If
   * it reports a start record for a request of this process that is already done, the record is
   * cancelled. Either the request was not dispatched, and the record would block its key, or its
   * finish record is stored, and the cancellation has no effect.
   */
  private void handleWriterResponse(LedgerKey key, String nonce, KeyedRequestEvent event) {
    boolean started =
        event instanceof KeyedRequestEvent.StartResponseReceived r
            && r.result() instanceof StartResult.Started;
    if (requests.containsKey(nonce)) {
      handleRequestEvent(nonce, event);
    } else if (started && nonce.startsWith(noncePrefix)) {
      // Digest and incarnation are placeholders, because this cancellation creates no record.
      Attempt attemptToCancel = new Attempt(key, "-", nonce, self.value(), 0);
      enqueueShardEvent(key, new ShardEvent.CancelRequested(attemptToCancel, false));
    }
  }

  private void deliverFinishResponse(ShardCommand.FinishResponse c) {
    @Nullable HostId requester = finishRequesters.remove(c.nonce());
    if (requester == null) {
      queue.add(
          () ->
              handleRequestEvent(
                  c.nonce(), new KeyedRequestEvent.FinishResponseReceived(c.stored())));
    } else if (c.stored()) {
      out.send(requester, LedgerMessageTranslator.toFinishResponse(c.key(), c.nonce()));
    }
  }

  /** Returns the owner of the shard if it is another node, else empty. */
  private Optional<HostId> remoteOwnerOf(LedgerKey key) {
    return ShardOwners.owner(key.shard(), liveMembers, storeRegion).filter(h -> !h.equals(self));
  }
}
