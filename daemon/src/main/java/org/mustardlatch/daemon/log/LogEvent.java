package org.mustardlatch.daemon.log;

/**
 * Numbered events of the log. docs/EVENTS.md gives the meaning of each and what an operator should
 * do. Numbers are never reused. Ranges: 1000 daemon, 2000 routing, 3000 peers, 4000 manifest, 5000
 * object service and ledger, 6000 upstreams, 7000 callers.
 */
public enum LogEvent {
  DAEMON_STARTING(1001, Level.INFO, "host {} starts in zone {} with incarnation {}"),
  DAEMON_READY(1002, Level.INFO, "ready with manifest revision {}"),
  DAEMON_DRAINING(1003, Level.INFO, "draining, {} requests in progress"),
  DAEMON_STOPPED(1004, Level.INFO, "stopped after {} ms"),
  SETTINGS_INVALID(1005, Level.ERROR, "settings file is not usable: {}"),
  UNEXPECTED_ERROR(1006, Level.ERROR, "unexpected error in {}: {}"),
  MANIFEST_APPLIED(4001, Level.INFO, "manifest revision {} with digest {} is in force"),
  MANIFEST_REFUSED(4002, Level.WARN, "manifest refused: {}"),
  LEDGER_STORE_FAILS(5001, Level.WARN, "object service fails for ledger shard {}: {}"),
  LEDGER_STORE_BACK(5002, Level.INFO, "object service works again for ledger shard {}"),
  LEDGER_WRITE_UNKNOWN(5003, Level.WARN, "result of a write of ledger shard {} is not known: {}"),
  UPSTREAM_ERROR(6001, Level.WARN, "upstream {} answered {} to attempt {}: {}"),
  UPSTREAM_CALL_BROKEN(6002, Level.WARN, "upstream {} broke off attempt {}: {}"),
  CANCEL_NOT_ACKNOWLEDGED(6003, Level.WARN, "upstream {} did not acknowledge cancel of {}");

  private final int number;
  private final Level level;
  private final String pattern;

  LogEvent(int number, Level level, String pattern) {
    this.number = number;
    this.level = level;
    this.pattern = pattern;
  }

  /** Returns the stable number, for example 1001. */
  public int number() {
    return number;
  }

  /** Returns the severity. */
  public Level level() {
    return level;
  }

  /** Returns the message, with a pair of braces for each argument. */
  public String pattern() {
    return pattern;
  }

  /** Severity of an event. */
  public enum Level {
    INFO,
    WARN,
    ERROR
  }
}
