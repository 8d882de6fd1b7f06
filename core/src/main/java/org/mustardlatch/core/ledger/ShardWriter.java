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
 * Group commit of one shard object: requests that arrive while a write is in progress go into the
 * next one. Any number of nodes may run a writer of the same shard at once; the condition of each
 * update keeps them apart.
 *
 * <p>After a write whose result is not known, the changes in it are <i>exposed</i>: the write may
 * still be applied while the version that it names is the current one. They are settled only by a
 * read that shows another version, or by a further write on that version, because either makes the
 * unknown write fail if it was not applied yet.
 */
public final class ShardWriter {
  private static final long FIRST_BACKOFF_NANOS = Duration.ofMillis(100).toNanos();
  private static final long LAST_BACKOFF_NANOS = Duration.ofSeconds(5).toNanos();
  private static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);

  private final LedgerLimits limits;
  private final RecordRules rules;
  private final WriteBudget budget;
  private final Map<String, PendingChange> pending = new LinkedHashMap<>();

  private Phase phase = Phase.IDLE;
  private LedgerShard content = LedgerShard.EMPTY;
  private String version = "";
  private boolean mustRead = true;
  private long contentNanos;
  private long issuedNanos;
  private @Nullable LedgerShard writing;
  private Map<String, ShardCommand> inWrite = Map.of();
  private @Nullable String unknownWriteVersion;
  private int failures;
  private boolean backingOff;
  private long retryAtNanos;

  private enum Phase {
    IDLE,
    READING,
    WRITING
  }

  /** Creates the writer of one shard; the object is read before the first write. */
  public ShardWriter(LedgerLimits limits) {
    this.limits = limits;
    rules = new RecordRules(limits);
    budget = new WriteBudget(limits.writesPerSecond() / LedgerKey.SHARDS, LedgerLimits.WRITE_BURST);
  }

  /**
   * Returns whether this release can read the content of a shard object. What it can't read is
   * never overwritten, and starts on it are refused.
   */
  public static boolean canRead(JsonNode content) {
    try {
      LedgerCodec.decode(content);
      return true;
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  /** Returns whether nothing is pending, so that the writer can be dropped without loss. */
  public boolean idle() {
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
          replace(e.nonce(), new PendingChange.Goal.Finish(e), nowNanos);
      case ShardEvent.ReadFinished e -> readFinished(e, nowNanos, out);
      case ShardEvent.ReadFailed e -> readFailed(nowNanos, out);
      case ShardEvent.WriteStored e -> writeStored(e.version(), out);
      case ShardEvent.WriteConflicted e -> writeConflicted();
      case ShardEvent.WriteRefused e -> writeRefused(e, nowNanos, out);
      case ShardEvent.WriteUnknown e -> writeUnknown();
      case ShardEvent.Woken e -> {}
    }
    advance(nowNanos, nowSeconds, out);
  }

  private void start(Attempt attempt, long nowNanos, Consumer<ShardCommand> out) {
    if (pending.containsKey(attempt.nonce())) {
      return; // a repeated message; the first one gets the answer
    }
    if (backingOff && nowNanos < retryAtNanos) {
      refuse(attempt, ErrorCode.STORE_UNAVAILABLE, nowNanos, out);
    } else if (pending.size() >= limits.maxPending()) {
      refuse(attempt, ErrorCode.OVERLOADED, nowNanos, out);
    } else {
      pending.put(
          attempt.nonce(), new PendingChange(new PendingChange.Goal.Start(attempt), nowNanos));
    }
  }

  private void cancel(
      ShardEvent.CancelRequested request, long nowNanos, Consumer<ShardCommand> out) {
    Attempt attempt = request.attempt();
    PendingChange current = pending.get(attempt.nonce());
    boolean untouched =
        current != null
            && current.isStart()
            && !current.exposed()
            && !inWrite.containsKey(attempt.nonce());
    if (untouched && !request.leaveMark()) {
      pending.remove(attempt.nonce());
      out.accept(new ShardCommand.CancelAnswer(attempt));
    } else if (current == null || current.isStart()) {
      replace(
          attempt.nonce(), new PendingChange.Goal.Cancel(attempt, request.leaveMark()), nowNanos);
    }
  }

  /** Puts a later change of the same attempt in the place of the pending one. */
  private void replace(String nonce, PendingChange.Goal goal, long nowNanos) {
    PendingChange change = new PendingChange(goal, nowNanos);
    PendingChange current = pending.get(nonce);
    if (current != null && inWrite.containsKey(nonce)) {
      current.setNext(change);
      return;
    }
    change.setExposed(current != null && current.exposed());
    pending.put(nonce, change);
  }

  private void readFinished(
      ShardEvent.ReadFinished event, long nowNanos, Consumer<ShardCommand> out) {
    LedgerShard found;
    try {
      found = event.content() == null ? LedgerShard.EMPTY : LedgerCodec.decode(event.content());
    } catch (IllegalArgumentException e) {
      // Written by a later release: it must not be overwritten.
      readFailed(nowNanos, out);
      return;
    }
    phase = Phase.IDLE;
    content = found;
    version = event.version();
    contentNanos = issuedNanos;
    mustRead = false;
    available();
    if (unknownWriteVersion != null && !unknownWriteVersion.equals(version)) {
      settleUnknownWrite();
    }
  }

  private void readFailed(long nowNanos, Consumer<ShardCommand> out) {
    phase = Phase.IDLE;
    backOff(0, nowNanos);
    refuseStarts(nowNanos, out);
  }

  private void writeStored(String newVersion, Consumer<ShardCommand> out) {
    phase = Phase.IDLE;
    if (writing != null) {
      content = writing;
    }
    version = newVersion;
    contentNanos = issuedNanos;
    available();
    settleUnknownWrite();
    Map<String, ShardCommand> answers = inWrite;
    inWrite = Map.of();
    answers.forEach(
        (nonce, answer) -> {
          PendingChange change = pending.remove(nonce);
          if (change != null && change.next() != null) {
            pending.put(nonce, change.next());
          } else {
            out.accept(answer);
          }
        });
  }

  private void writeConflicted() {
    phase = Phase.IDLE;
    mustRead = true;
    available();
    endWrite(false);
  }

  private void writeRefused(
      ShardEvent.WriteRefused event, long nowNanos, Consumer<ShardCommand> out) {
    phase = Phase.IDLE;
    mustRead = true;
    endWrite(false);
    backOff(event.retryAfterNanos(), nowNanos);
    refuseStarts(nowNanos, out);
  }

  private void writeUnknown() {
    phase = Phase.IDLE;
    unknownWriteVersion = version;
    mustRead = true;
    endWrite(true);
  }

  /** Takes up later changes of the attempts that were in the write. */
  private void endWrite(boolean unknown) {
    Set<String> nonces = inWrite.keySet();
    inWrite = Map.of();
    for (String nonce : nonces) {
      PendingChange change = pending.get(nonce);
      if (change == null) {
        continue;
      }
      change.setExposed(change.exposed() || unknown);
      PendingChange next = change.next();
      if (next != null) {
        next.setExposed(change.exposed());
        pending.put(nonce, next);
      }
    }
  }

  private void settleUnknownWrite() {
    unknownWriteVersion = null;
    pending.values().forEach(c -> c.setExposed(false));
  }

  private void available() {
    failures = 0;
    backingOff = false;
  }

  private void backOff(long atLeastNanos, long nowNanos) {
    long delay = Math.min(LAST_BACKOFF_NANOS, FIRST_BACKOFF_NANOS << Math.min(failures, 10));
    failures++;
    backingOff = true;
    retryAtNanos = nowNanos + Math.max(atLeastNanos, delay);
  }

  /** Refuses the starts that no write contains; the others stay undecided. */
  private void refuseStarts(long nowNanos, Consumer<ShardCommand> out) {
    for (PendingChange change : List.copyOf(pending.values())) {
      if (change.goal() instanceof PendingChange.Goal.Start s && !change.exposed()) {
        pending.remove(s.attempt().nonce());
        refuse(s.attempt(), ErrorCode.STORE_UNAVAILABLE, nowNanos, out);
      }
    }
  }

  private void refuse(Attempt attempt, ErrorCode code, long nowNanos, Consumer<ShardCommand> out) {
    Duration wait = Duration.ofNanos(backingOff ? Math.max(0, retryAtNanos - nowNanos) : 0);
    Duration retryAfter = wait.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : wait;
    out.accept(new ShardCommand.StartAnswer(attempt, new StartResult.NotStarted(code, retryAfter)));
  }

  /** Does the next thing that is possible: wait, read, answer, or write. */
  private void advance(long nowNanos, long nowSeconds, Consumer<ShardCommand> out) {
    if (phase != Phase.IDLE || pending.isEmpty()) {
      return;
    }
    if (backingOff && nowNanos < retryAtNanos) {
      out.accept(new ShardCommand.WakeAt(retryAtNanos));
    } else if (mustRead) {
      read(nowNanos, out);
    } else {
      decide(nowNanos, nowSeconds, out);
    }
  }

  private void decide(long nowNanos, long nowSeconds, Consumer<ShardCommand> out) {
    ShardEditor editor = new ShardEditor(content);
    editor.compact(
        nowSeconds, LedgerLimits.KEEP_FULL, limits.retention().plus(LedgerLimits.RETENTION_MARGIN));
    Map<String, ShardCommand> edits = new LinkedHashMap<>();
    Set<LedgerKey> edited = new HashSet<>();
    boolean exposed = false;
    boolean stale = false;
    for (Map.Entry<String, PendingChange> e : List.copyOf(pending.entrySet())) {
      PendingChange change = e.getValue();
      Decision decision = rules.apply(change.goal(), editor, nowSeconds);
      LedgerKey key = keyOf(change.goal());
      if (decision.edits()) {
        edits.put(e.getKey(), decision.answer());
        edited.add(key);
      } else if (change.exposed()) {
        exposed = true;
      } else if (decision.passing() && contentNanos < change.sinceNanos()) {
        stale = true;
      } else if (!edited.contains(key)) { // else its answer rests on a change not stored yet
        pending.remove(e.getKey());
        out.accept(decision.answer());
      }
    }
    if (stale) {
      read(nowNanos, out);
    } else if (exposed || !edits.isEmpty()) {
      write(editor.build(), edits, nowNanos, out);
    }
  }

  private void read(long nowNanos, Consumer<ShardCommand> out) {
    phase = Phase.READING;
    issuedNanos = nowNanos;
    out.accept(new ShardCommand.Read());
  }

  private void write(
      LedgerShard next,
      Map<String, ShardCommand> edits,
      long nowNanos,
      Consumer<ShardCommand> out) {
    long wait = budget.waitNanos(nowNanos);
    if (wait > 0) {
      out.accept(new ShardCommand.WakeAt(nowNanos + wait));
      return;
    }
    budget.take(nowNanos);
    phase = Phase.WRITING;
    issuedNanos = nowNanos;
    writing = next;
    inWrite = edits;
    out.accept(new ShardCommand.Write(version, LedgerCodec.encode(next)));
  }

  private static LedgerKey keyOf(PendingChange.Goal goal) {
    return switch (goal) {
      case PendingChange.Goal.Start s -> s.attempt().key();
      case PendingChange.Goal.Cancel c -> c.attempt().key();
      case PendingChange.Goal.Finish f -> f.request().key();
    };
  }
}
