package org.mustardlatch.core.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.error.ErrorCode;

/**
 * Writes one shard object with group commit: changes that are requested while a write is in
 * progress go into the next write. Any number of nodes may run a writer of the same shard at once,
 * because each update is conditional on the version of the object.
 *
 * <p>If the result of a write is unknown, the write may still be applied as long as the object has
 * the version on which the write is conditional. The changes in it are marked as <i>in an unknown
 * write</i> until a read returns another version or a further write on that version succeeds. In
 * both cases the unknown write can no longer be applied if it was not applied before.
 */
public final class ShardWriter {
  private static final long FIRST_BACKOFF_NANOS = Duration.ofMillis(100).toNanos();
  private static final long MAX_BACKOFF_NANOS = Duration.ofSeconds(5).toNanos();
  private static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);

  private final LedgerLimits limits;
  private final RecordTransitions transitions;
  private final WriteRateLimiter rateLimiter;
  private final Map<String, PendingChange> pending = new LinkedHashMap<>();

  private Phase phase = Phase.IDLE;
  private LedgerShard cachedShard = LedgerShard.EMPTY;
  private String cachedVersion = "";
  private boolean readRequired = true;

  /** Start of the read or write that gave the cached content, which is at least as recent. */
  private long cachedAsOfNanos;

  private long callStartedNanos;
  private @Nullable LedgerShard shardInWrite;
  private Map<String, ShardCommand> responsesInWrite = Map.of();
  private @Nullable String unknownWriteBaseVersion;
  private int consecutiveFailures;
  private boolean backingOff;
  private long retryAtNanos;

  private enum Phase {
    IDLE,
    READING,
    WRITING
  }

  /** Creates the writer of one shard. It reads the object before the first write. */
  public ShardWriter(LedgerLimits limits) {
    this.limits = limits;
    transitions = new RecordTransitions(limits);
    rateLimiter =
        new WriteRateLimiter(
            limits.writesPerSecond() / LedgerKey.SHARD_COUNT, LedgerLimits.MAX_WRITE_BURST);
  }

  /**
   * Returns whether this release can read the content of a shard object. Unreadable content is
   * never overwritten, and starts in such a shard are refused.
   */
  public static boolean canRead(JsonNode content) {
    try {
      LedgerCodec.decode(content);
      return true;
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  /** Returns whether no change is pending, so that the writer can be discarded without loss. */
  public boolean isIdle() {
    return pending.isEmpty() && phase == Phase.IDLE;
  }

  /**
   * Handles one event.
   *
   * @param nowNanos monotonic time
   * @param nowSeconds wall-clock time in seconds since 1970, for the times in records
   * @param out receives the commands
   */
  public void handle(ShardEvent event, long nowNanos, long nowSeconds, Consumer<ShardCommand> out) {
    switch (event) {
      case ShardEvent.StartRequested e -> start(e.attempt(), nowNanos, out);
      case ShardEvent.CancelRequested e -> cancel(e, nowNanos, out);
      case ShardEvent.FinishRequested e ->
          addOrReplaceChange(e.nonce(), new PendingChange.Operation.Finish(e), nowNanos);
      case ShardEvent.ReadFinished e -> readFinished(e, nowNanos, out);
      case ShardEvent.ReadFailed e -> readFailed(nowNanos, out);
      case ShardEvent.WriteStored e -> writeStored(e.version(), out);
      case ShardEvent.WriteConflicted e -> writeConflicted();
      case ShardEvent.WriteRefused e -> writeRefused(e, nowNanos, out);
      case ShardEvent.WriteUnknown e -> writeUnknown();
      case ShardEvent.TimerFired e -> {}
    }
    advance(nowNanos, nowSeconds, out);
  }

  private void start(Attempt attempt, long nowNanos, Consumer<ShardCommand> out) {
    if (pending.containsKey(attempt.nonce())) {
      return; // a repeated message; the first one gets the response
    }
    if (backingOff && nowNanos < retryAtNanos) {
      refuse(attempt, ErrorCode.STORE_UNAVAILABLE, nowNanos, out);
    } else if (pending.size() >= limits.maxPendingChanges()) {
      refuse(attempt, ErrorCode.OVERLOADED, nowNanos, out);
    } else {
      pending.put(
          attempt.nonce(), new PendingChange(new PendingChange.Operation.Start(attempt), nowNanos));
    }
  }

  private void cancel(
      ShardEvent.CancelRequested request, long nowNanos, Consumer<ShardCommand> out) {
    Attempt attempt = request.attempt();
    PendingChange current = pending.get(attempt.nonce());
    boolean inNoWrite =
        current != null
            && current.isStart()
            && !current.inUnknownWrite()
            && !responsesInWrite.containsKey(attempt.nonce());
    if (inNoWrite && !request.createIfAbsent()) {
      pending.remove(attempt.nonce());
      out.accept(new ShardCommand.CancelResponse(attempt));
    } else if (current == null || current.isStart()) {
      addOrReplaceChange(
          attempt.nonce(),
          new PendingChange.Operation.Cancel(attempt, request.createIfAbsent()),
          nowNanos);
    }
  }

  /**
   * Adds a change of an attempt. It replaces the pending change of the attempt if there is one, and
   * does so after the write in progress if that contains the pending change.
   */
  private void addOrReplaceChange(String nonce, PendingChange.Operation operation, long nowNanos) {
    PendingChange change = new PendingChange(operation, nowNanos);
    PendingChange current = pending.get(nonce);
    if (current != null && responsesInWrite.containsKey(nonce)) {
      current.setNext(change);
      return;
    }
    change.setInUnknownWrite(current != null && current.inUnknownWrite());
    pending.put(nonce, change);
  }

  private void readFinished(
      ShardEvent.ReadFinished event, long nowNanos, Consumer<ShardCommand> out) {
    LedgerShard found;
    try {
      found = event.content() == null ? LedgerShard.EMPTY : LedgerCodec.decode(event.content());
    } catch (IllegalArgumentException e) {
      // A later release wrote the object, which must not be overwritten.
      readFailed(nowNanos, out);
      return;
    }
    phase = Phase.IDLE;
    cachedShard = found;
    cachedVersion = event.version();
    cachedAsOfNanos = callStartedNanos;
    readRequired = false;
    resetBackoff();
    if (unknownWriteBaseVersion != null && !unknownWriteBaseVersion.equals(cachedVersion)) {
      resolveUnknownWrite();
    }
  }

  private void readFailed(long nowNanos, Consumer<ShardCommand> out) {
    phase = Phase.IDLE;
    backOff(0, nowNanos);
    refuseUnwrittenStarts(nowNanos, out);
  }

  private void writeStored(String newVersion, Consumer<ShardCommand> out) {
    phase = Phase.IDLE;
    if (shardInWrite != null) {
      cachedShard = shardInWrite;
    }
    cachedVersion = newVersion;
    cachedAsOfNanos = callStartedNanos;
    resetBackoff();
    resolveUnknownWrite();
    Map<String, ShardCommand> responses = responsesInWrite;
    responsesInWrite = Map.of();
    responses.forEach(
        (nonce, response) -> {
          PendingChange change = pending.remove(nonce);
          if (change != null && change.next() != null) {
            pending.put(nonce, change.next());
          } else {
            out.accept(response);
          }
        });
  }

  private void writeConflicted() {
    phase = Phase.IDLE;
    readRequired = true;
    resetBackoff();
    clearWrite(false);
  }

  private void writeRefused(
      ShardEvent.WriteRefused event, long nowNanos, Consumer<ShardCommand> out) {
    phase = Phase.IDLE;
    readRequired = true;
    clearWrite(false);
    backOff(event.retryAfterNanos(), nowNanos);
    refuseUnwrittenStarts(nowNanos, out);
  }

  private void writeUnknown() {
    phase = Phase.IDLE;
    unknownWriteBaseVersion = cachedVersion;
    readRequired = true;
    clearWrite(true);
  }

  /**
   * Ends a write that was not confirmed as stored. Its changes stay pending unless a later change
   * of the same attempt replaces them.
   */
  private void clearWrite(boolean unknown) {
    Set<String> nonces = responsesInWrite.keySet();
    responsesInWrite = Map.of();
    for (String nonce : nonces) {
      PendingChange change = pending.get(nonce);
      if (change == null) {
        continue;
      }
      change.setInUnknownWrite(change.inUnknownWrite() || unknown);
      PendingChange next = change.next();
      if (next != null) {
        next.setInUnknownWrite(change.inUnknownWrite());
        pending.put(nonce, next);
      }
    }
  }

  private void resolveUnknownWrite() {
    unknownWriteBaseVersion = null;
    pending.values().forEach(c -> c.setInUnknownWrite(false));
  }

  private void resetBackoff() {
    consecutiveFailures = 0;
    backingOff = false;
  }

  private void backOff(long atLeastNanos, long nowNanos) {
    long delay =
        Math.min(MAX_BACKOFF_NANOS, FIRST_BACKOFF_NANOS << Math.min(consecutiveFailures, 10));
    consecutiveFailures++;
    backingOff = true;
    retryAtNanos = nowNanos + Math.max(atLeastNanos, delay);
  }

  /**
   * Refuses the pending starts that no unknown write contains. The others stay pending, because
   * they may still be applied.
   */
  private void refuseUnwrittenStarts(long nowNanos, Consumer<ShardCommand> out) {
    for (PendingChange change : List.copyOf(pending.values())) {
      if (change.operation() instanceof PendingChange.Operation.Start s
          && !change.inUnknownWrite()) {
        pending.remove(s.attempt().nonce());
        refuse(s.attempt(), ErrorCode.STORE_UNAVAILABLE, nowNanos, out);
      }
    }
  }

  private void refuse(Attempt attempt, ErrorCode code, long nowNanos, Consumer<ShardCommand> out) {
    Duration wait = Duration.ofNanos(backingOff ? Math.max(0, retryAtNanos - nowNanos) : 0);
    Duration retryAfter = wait.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : wait;
    out.accept(
        new ShardCommand.StartResponse(attempt, new StartResult.NotStarted(code, retryAfter)));
  }

  /** Takes the next possible step: waits, reads, responds or writes. */
  private void advance(long nowNanos, long nowSeconds, Consumer<ShardCommand> out) {
    if (phase != Phase.IDLE || pending.isEmpty()) {
      return;
    }
    if (backingOff && nowNanos < retryAtNanos) {
      out.accept(new ShardCommand.SetTimer(retryAtNanos));
    } else if (readRequired) {
      read(nowNanos, out);
    } else {
      applyPendingChanges(nowNanos, nowSeconds, out);
    }
  }

  private void applyPendingChanges(long nowNanos, long nowSeconds, Consumer<ShardCommand> out) {
    ShardEditor editor = new ShardEditor(cachedShard);
    editor.compact(
        nowSeconds,
        LedgerLimits.FULL_RECORD_RETENTION,
        limits.retention().plus(LedgerLimits.CLOCK_SKEW_MARGIN));
    Map<String, ShardCommand> responses = new LinkedHashMap<>();
    Set<LedgerKey> modifiedKeys = new HashSet<>();
    boolean resolvingWriteRequired = false;
    boolean freshReadRequired = false;
    for (Map.Entry<String, PendingChange> e : List.copyOf(pending.entrySet())) {
      PendingChange change = e.getValue();
      ChangeDecision decision = transitions.apply(change.operation(), editor, nowSeconds);
      LedgerKey key = keyOf(change.operation());
      if (decision.modifiesRecord()) {
        responses.put(e.getKey(), decision.response());
        modifiedKeys.add(key);
      } else if (change.inUnknownWrite()) {
        resolvingWriteRequired = true;
      } else if (decision.provisional() && cachedAsOfNanos < change.requestedAtNanos()) {
        freshReadRequired = true;
      } else if (!modifiedKeys.contains(key)) { // else the response depends on an unstored change
        pending.remove(e.getKey());
        out.accept(decision.response());
      }
    }
    if (freshReadRequired) {
      read(nowNanos, out);
    } else if (resolvingWriteRequired || !responses.isEmpty()) {
      write(editor.build(), responses, nowNanos, out);
    }
  }

  private void read(long nowNanos, Consumer<ShardCommand> out) {
    phase = Phase.READING;
    callStartedNanos = nowNanos;
    out.accept(new ShardCommand.Read());
  }

  private void write(
      LedgerShard next,
      Map<String, ShardCommand> responses,
      long nowNanos,
      Consumer<ShardCommand> out) {
    long wait = rateLimiter.waitNanos(nowNanos);
    if (wait > 0) {
      out.accept(new ShardCommand.SetTimer(nowNanos + wait));
      return;
    }
    rateLimiter.acquire(nowNanos);
    phase = Phase.WRITING;
    callStartedNanos = nowNanos;
    shardInWrite = next;
    responsesInWrite = responses;
    out.accept(new ShardCommand.Write(cachedVersion, LedgerCodec.encode(next)));
  }

  private static LedgerKey keyOf(PendingChange.Operation operation) {
    return switch (operation) {
      case PendingChange.Operation.Start s -> s.attempt().key();
      case PendingChange.Operation.Cancel c -> c.attempt().key();
      case PendingChange.Operation.Finish f -> f.request().key();
    };
  }
}
