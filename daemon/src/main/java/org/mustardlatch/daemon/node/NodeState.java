package org.mustardlatch.daemon.node;

/** Lifecycle state of the node process. It only moves forward through the phases. */
public final class NodeState {
  private volatile Phase phase = Phase.STARTING;

  /** Returns the current phase. */
  public Phase phase() {
    return phase;
  }

  /**
   * Enters a phase. A phase that is not later than the current one is ignored.
   *
   * @return whether the phase changed
   */
  public synchronized boolean enter(Phase next) {
    if (next.compareTo(phase) <= 0) {
      return false;
    }
    phase = next;
    return true;
  }

  /** Lifecycle phases in the order in which they are entered. */
  public enum Phase {
    /** The node has no sufficiently recent manifest yet. */
    STARTING,
    /** The node accepts requests. */
    READY,
    /**
     * The readiness check fails, but requests are accepted for the drain delay, so that the load
     * balancer can react.
     */
    DRAINING,
    /** New requests are refused; requests in progress run to completion. */
    REFUSING,
    /** The process is about to exit. */
    STOPPED
  }
}
