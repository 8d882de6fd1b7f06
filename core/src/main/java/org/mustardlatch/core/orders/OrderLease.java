package org.mustardlatch.core.orders;

import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * One node's side of the lease on orders to a pool.
 *
 * <p>A holder counts its term from the moment before it sent the write; a successor counts it from
 * the moment when it first saw the version that the write made, and adds the margin. So the old
 * term has ended before the new one begins, whatever the difference between the clocks. A late
 * write of an old holder fails by its version.
 */
public final class OrderLease {
  private final LeaseTimes times;
  private final String nonce;
  private boolean wanted;
  private boolean busy;
  private long seenVersion = -1;
  private long seenNanos;
  private boolean own;
  private long sentNanos;
  private long termStartNanos;
  private boolean mustRead = true;
  private boolean unsettled;
  private long unsettledSentNanos;
  private long unsettledVersion;
  private long wakeNanos;

  /**
   * Creates the side of one node, without the lease.
   *
   * @param nonce names this process; never used by another one
   */
  public OrderLease(LeaseTimes times, String nonce) {
    this.times = times;
    this.nonce = nonce;
  }

  /**
   * Returns the fencing token when an order may be sent now: the lease lasts longer than the order
   * can be on its way. To be asked right before each send.
   */
  public OptionalLong tokenForSending(long nowNanos) {
    long needed = times.sendTimeout().plus(times.margin()).toNanos();
    boolean enough = own && nowNanos - termStartNanos + needed < times.term().toNanos();
    return enough ? OptionalLong.of(seenVersion) : OptionalLong.empty();
  }

  /** Handles one event; {@code nowNanos} is monotonic time. */
  public void handle(LeaseEvent event, long nowNanos, Consumer<LeaseCommand> out) {
    switch (event) {
      case LeaseEvent.Wanted e -> wanted = e.wanted();
      case LeaseEvent.ReadFinished e -> readFinished(e, nowNanos, out);
      case LeaseEvent.ReadFailed e -> failed(nowNanos);
      case LeaseEvent.WriteStored e -> stored(e.version(), nowNanos, out);
      case LeaseEvent.WriteFailed e -> writeFailed(nowNanos);
      case LeaseEvent.Woken e -> {}
    }
    advance(nowNanos, out);
  }

  private void readFinished(
      LeaseEvent.ReadFinished event, long nowNanos, Consumer<LeaseCommand> out) {
    busy = false;
    mustRead = false;
    if (event.version() != seenVersion) {
      seenVersion = event.version();
      seenNanos = nowNanos;
    }
    boolean ownWrite = event.holder().equals(nonce);
    if (unsettled && event.version() != unsettledVersion) {
      unsettled = false;
      if (ownWrite) {
        begin(unsettledSentNanos, out);
      }
    }
    own &= ownWrite;
  }

  private void stored(long version, long nowNanos, Consumer<LeaseCommand> out) {
    busy = false;
    unsettled = false;
    seenVersion = version;
    seenNanos = nowNanos;
    begin(sentNanos, out);
  }

  /** Remembers the first of several writes without a result: any of them may be the applied one. */
  private void writeFailed(long nowNanos) {
    mustRead = true;
    if (!unsettled) {
      unsettled = true;
      unsettledSentNanos = sentNanos;
      unsettledVersion = seenVersion;
    }
    failed(nowNanos);
  }

  private void begin(long startNanos, Consumer<LeaseCommand> out) {
    termStartNanos = startNanos;
    if (!own) {
      own = true;
      out.accept(new LeaseCommand.Acquired());
    }
  }

  private void failed(long nowNanos) {
    busy = false;
    wakeNanos = nowNanos + times.sendTimeout().toNanos();
  }

  private void advance(long nowNanos, Consumer<LeaseCommand> out) {
    if (own && nowNanos - termStartNanos >= times.term().toNanos()) {
      own = false; // it must be acquired again, because a successor may have given orders
    }
    if (busy || !wanted) {
      return;
    }
    if (nowNanos < wakeNanos) {
      out.accept(new LeaseCommand.WakeAt(wakeNanos));
    } else if (mustRead) {
      read(out);
    } else if (own) {
      renew(nowNanos, out);
    } else {
      takeOver(nowNanos, out);
    }
  }

  private void renew(long nowNanos, Consumer<LeaseCommand> out) {
    long due = termStartNanos + times.renewEvery().toNanos();
    if (nowNanos >= due) {
      write(nowNanos, out);
    } else {
      out.accept(new LeaseCommand.WakeAt(due));
    }
  }

  /** Waits until the term of the version that was seen last has surely ended; then writes on it. */
  private void takeOver(long nowNanos, Consumer<LeaseCommand> out) {
    long free = seenNanos + times.term().plus(times.margin()).toNanos();
    if (seenVersion == 0 || nowNanos >= free) {
      write(nowNanos, out);
    } else {
      mustRead = true; // to learn of renewals
      wakeNanos = Math.min(free, nowNanos + times.renewEvery().toNanos());
      out.accept(new LeaseCommand.WakeAt(wakeNanos));
    }
  }

  private void read(Consumer<LeaseCommand> out) {
    busy = true;
    out.accept(new LeaseCommand.Read());
  }

  private void write(long nowNanos, Consumer<LeaseCommand> out) {
    busy = true;
    sentNanos = nowNanos;
    out.accept(new LeaseCommand.Write(seenVersion, nonce));
  }
}
