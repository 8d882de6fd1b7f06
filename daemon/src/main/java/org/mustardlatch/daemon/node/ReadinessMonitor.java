package org.mustardlatch.daemon.node;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.time.TimerService;
import org.mustardlatch.core.time.TimerSubscription;

/**
 * Decides when a starting node is ready: once it has a sufficiently recent manifest and knows which
 * requests the fleet refuses because they crash engines. A node that is the only one does not wait
 * for others, and one whose peers do not respond does not wait for long.
 */
public final class ReadinessMonitor {
  /** Time after the start at which the node no longer waits for its peers. */
  static final Duration MAX_EVIDENCE_WAIT = Duration.ofSeconds(3);

  static final Duration CHECK_PERIOD = Duration.ofMillis(20);

  private final TimerService timers;
  private final BooleanSupplier evidenceKnown;
  private final BooleanSupplier onlyNode;
  private final LongConsumer readyListener;
  private TimerSubscription subscription = () -> {};
  private long startNanos;
  private @Nullable Long manifestRevision;

  /**
   * Creates a monitor that is not started.
   *
   * @param evidenceKnown returns whether a peer has sent all its crash evidence; called on the
   *     thread of the timers
   * @param onlyNode returns whether no other node is registered
   * @param readyListener is given the revision of the manifest when the node is ready
   */
  public ReadinessMonitor(
      TimerService timers,
      BooleanSupplier evidenceKnown,
      BooleanSupplier onlyNode,
      LongConsumer readyListener) {
    this.timers = timers;
    this.evidenceKnown = evidenceKnown;
    this.onlyNode = onlyNode;
    this.readyListener = readyListener;
  }

  /** Starts to check whether the node is ready, until it is. */
  public synchronized void start() {
    startNanos = timers.nanos();
    subscription = timers.scheduleRepeating(CHECK_PERIOD, this::check);
  }

  /** Stops checking. */
  public synchronized void stop() {
    subscription.cancel();
  }

  /** Records that the active manifest is sufficiently recent. */
  public synchronized void manifestReady(long revision) {
    manifestRevision = revision;
  }

  private synchronized void check() {
    Long revision = manifestRevision;
    boolean waitOver = timers.nanos() - startNanos >= MAX_EVIDENCE_WAIT.toNanos();
    if (revision != null && (waitOver || onlyNode.getAsBoolean() || evidenceKnown.getAsBoolean())) {
      subscription.cancel();
      readyListener.accept(revision);
    }
  }
}
