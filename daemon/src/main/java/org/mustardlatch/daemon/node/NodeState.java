package org.mustardlatch.daemon.node;

/** How far the process is between start and exit. */
public final class NodeState {
  private volatile Phase phase = Phase.STARTING;

  /** Returns the current phase. */
  public Phase phase() {
    return phase;
  }

  /** Enters a phase; going back is ignored. Returns whether the phase changed. */
  public synchronized boolean enter(Phase next) {
    if (next.compareTo(phase) <= 0) {
      return false;
    }
    phase = next;
    return true;
  }

  /** Phases in order. */
  public enum Phase {
    /** No manifest is in force yet. */
    STARTING,
    /** Takes requests. */
    READY,
    /** Readiness is off, but requests are still taken until the load balancer has noticed. */
    DRAINING,
    /** New requests are refused; requests in progress finish. */
    REFUSING,
    /** The process is about to exit. */
    STOPPED
  }
}
