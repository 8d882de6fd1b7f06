package org.mustardlatch.core.orders;

import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * State machine of one node for the lease that permits its holder to send orders to engines.
 *
 * <p>A holder counts its term from the time just before it sent the write. A successor counts the
 * term from the time when it first read the version that the write created, and adds the safety
 * margin. So the old term ends before the new one begins, whatever the offset between the clocks. A
 * delayed write of an old holder fails because its version is outdated.
 */
public final class OrderLease {
  private final LeaseTimes times;
  private final String nonce;
  private boolean candidate;
  private boolean callInProgress;
  private long lastSeenVersion = -1;
  private long versionFirstSeenNanos;
  private boolean holdsLease;
  private long writeSentNanos;
  private long termStartNanos;
  private boolean readRequired = true;
  private boolean writeResultUnknown;
  private long unknownWriteSentNanos;
  private long unknownWriteBaseVersion;
  private long nextCallNanos;

  /**
   * Creates the lease of one node, which does not hold it yet.
   *
   * @param nonce identifies this process; never used by another process
   */
  public OrderLease(LeaseTimes times, String nonce) {
    this.times = times;
    this.nonce = nonce;
  }

  /**
   * Returns the fencing token if an order may be sent now, which requires that the lease is still
   * valid when the send times out. Call it immediately before each send. The fencing token is the
   * version of the lease object, so that an engine can refuse orders of a former holder.
   */
  public OptionalLong fencingTokenForSending(long nowNanos) {
    long requiredNanos = times.sendTimeout().plus(times.safetyMargin()).toNanos();
    boolean mayStillSend =
        holdsLease && nowNanos - termStartNanos + requiredNanos < times.term().toNanos();
    return mayStillSend ? OptionalLong.of(lastSeenVersion) : OptionalLong.empty();
  }

  /** Handles one event; {@code nowNanos} is monotonic time. */
  public void handle(LeaseEvent event, long nowNanos, Consumer<LeaseCommand> out) {
    switch (event) {
      case LeaseEvent.CandidacyChanged e -> candidate = e.candidate();
      case LeaseEvent.ReadFinished e -> readFinished(e, nowNanos, out);
      case LeaseEvent.ReadFailed e -> delayNextCall(nowNanos);
      case LeaseEvent.WriteStored e -> writeStored(e.version(), nowNanos, out);
      case LeaseEvent.WriteFailed e -> writeFailed(nowNanos);
      case LeaseEvent.TimerFired e -> {}
    }
    advance(nowNanos, out);
  }

  private void readFinished(
      LeaseEvent.ReadFinished event, long nowNanos, Consumer<LeaseCommand> out) {
    callInProgress = false;
    readRequired = false;
    if (event.version() != lastSeenVersion) {
      lastSeenVersion = event.version();
      versionFirstSeenNanos = nowNanos;
    }
    boolean writtenByThisNode = event.holder().equals(nonce);
    if (writeResultUnknown && event.version() != unknownWriteBaseVersion) {
      writeResultUnknown = false;
      if (writtenByThisNode) {
        startTerm(unknownWriteSentNanos, out);
      }
    }
    holdsLease &= writtenByThisNode;
  }

  private void writeStored(long version, long nowNanos, Consumer<LeaseCommand> out) {
    callInProgress = false;
    writeResultUnknown = false;
    lastSeenVersion = version;
    versionFirstSeenNanos = nowNanos;
    startTerm(writeSentNanos, out);
  }

  /**
   * Records the send time and base version of the first of several writes with unknown results,
   * because any of them may be the write that was applied. A term that is counted from the first
   * send time never ends too late.
   */
  private void writeFailed(long nowNanos) {
    readRequired = true;
    if (!writeResultUnknown) {
      writeResultUnknown = true;
      unknownWriteSentNanos = writeSentNanos;
      unknownWriteBaseVersion = lastSeenVersion;
    }
    delayNextCall(nowNanos);
  }

  private void startTerm(long startNanos, Consumer<LeaseCommand> out) {
    termStartNanos = startNanos;
    if (!holdsLease) {
      holdsLease = true;
      out.accept(new LeaseCommand.Acquired());
    }
  }

  private void delayNextCall(long nowNanos) {
    callInProgress = false;
    nextCallNanos = nowNanos + times.sendTimeout().toNanos();
  }

  private void advance(long nowNanos, Consumer<LeaseCommand> out) {
    if (holdsLease && nowNanos - termStartNanos >= times.term().toNanos()) {
      holdsLease = false; // acquire it again, because a successor may have sent orders
    }
    if (callInProgress || !candidate) {
      return;
    }
    if (nowNanos < nextCallNanos) {
      out.accept(new LeaseCommand.SetTimer(nextCallNanos));
    } else if (readRequired) {
      read(out);
    } else if (holdsLease) {
      renew(nowNanos, out);
    } else {
      takeOver(nowNanos, out);
    }
  }

  private void renew(long nowNanos, Consumer<LeaseCommand> out) {
    long renewAtNanos = termStartNanos + times.renewalInterval().toNanos();
    if (nowNanos >= renewAtNanos) {
      write(nowNanos, out);
    } else {
      out.accept(new LeaseCommand.SetTimer(renewAtNanos));
    }
  }

  /**
   * Sends the write that acquires the lease as soon as no other node can still hold it: immediately
   * if the lease object does not exist, else when the term of the last read version has ended on
   * every clock.
   */
  private void takeOver(long nowNanos, Consumer<LeaseCommand> out) {
    long termEndNanos = versionFirstSeenNanos + times.term().plus(times.safetyMargin()).toNanos();
    if (lastSeenVersion == 0 || nowNanos >= termEndNanos) {
      write(nowNanos, out);
    } else {
      readRequired = true; // to detect renewals
      nextCallNanos = Math.min(termEndNanos, nowNanos + times.renewalInterval().toNanos());
      out.accept(new LeaseCommand.SetTimer(nextCallNanos));
    }
  }

  private void read(Consumer<LeaseCommand> out) {
    callInProgress = true;
    out.accept(new LeaseCommand.Read());
  }

  private void write(long nowNanos, Consumer<LeaseCommand> out) {
    callInProgress = true;
    writeSentNanos = nowNanos;
    out.accept(new LeaseCommand.Write(lastSeenVersion, nonce));
  }
}
