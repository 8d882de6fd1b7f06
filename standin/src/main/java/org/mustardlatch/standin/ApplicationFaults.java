package org.mustardlatch.standin;

/** Fault switches of an application stand-in; all are off at start. */
public final class ApplicationFaults {
  private volatile boolean refusing;
  private volatile boolean stalled;
  private volatile boolean losingAnswers;
  private volatile boolean failing;
  private int waiting;

  /** Refuses calls with 503 before they run. */
  public void refuse(boolean on) {
    refusing = on;
  }

  /** Holds calls before they run, until switched off or the server stops. */
  public synchronized void stall(boolean on) {
    stalled = on;
    notifyAll();
  }

  /** Runs calls and then breaks the connection instead of answering. */
  public void loseAnswers(boolean on) {
    losingAnswers = on;
  }

  /** Runs calls and then answers 500. */
  public void fail(boolean on) {
    failing = on;
  }

  boolean refusing() {
    return refusing;
  }

  boolean losingAnswers() {
    return losingAnswers;
  }

  boolean failing() {
    return failing;
  }

  /** Returns the number of calls that are held by {@link #stall}. */
  public synchronized int waiting() {
    return waiting;
  }

  synchronized void awaitNoStall() throws InterruptedException {
    waiting++;
    try {
      while (stalled) {
        wait();
      }
    } finally {
      waiting--;
    }
  }
}
