package org.mustardlatch.gateway.log;

/**
 * Numbered log events. docs/EVENTS.md explains what each event means and what an operator should
 * do. Numbers are never reused. Ranges: 1000 daemon, 2000 routing, 3000 peers, 4000 manifest, 5000
 * object service and ledger, 6000 upstreams, 7000 callers, 8000 the data path of the gateway.
 */
public enum LogEvent {
  DAEMON_STARTING(1001, Level.INFO, "host {} starts in zone {} with incarnation {}"),
  DAEMON_READY(1002, Level.INFO, "ready with manifest revision {}"),
  DAEMON_DRAINING(1003, Level.INFO, "draining, {} requests in progress"),
  DAEMON_STOPPED(1004, Level.INFO, "stopped after {} ms"),
  SETTINGS_INVALID(1005, Level.ERROR, "settings file is not usable: {}"),
  UNEXPECTED_ERROR(1006, Level.ERROR, "unexpected error in {}: {}"),
  PEERS_LISTENING(3001, Level.INFO, "listening for peers on {} with {} seeds"),
  PEERS_PLAIN(3002, Level.WARN, "peer connections on {} are not encrypted (loopback only)"),
  NODE_JOINED(3003, Level.INFO, "node {} is alive, {} nodes"),
  NODE_GONE(3004, Level.WARN, "node {} is gone, {} nodes"),
  NODE_SUSPECTED(3005, Level.WARN, "node {} is suspected to be dead"),
  REGION_UNREACHABLE(3006, Level.WARN, "region {} is unreachable"),
  REGION_REACHABLE(3007, Level.INFO, "region {} is reachable again"),
  NODE_FENCED(3008, Level.WARN, "this node was paused for {} ms, its incarnation is now {}"),
  MANIFEST_APPLIED(4001, Level.INFO, "manifest revision {} with digest {} is in force"),
  MANIFEST_REFUSED(4002, Level.WARN, "manifest refused: {}"),
  MANIFEST_ACCEPTED(4010, Level.INFO, "published manifest revision {} is accepted"),
  CONFIGURATION_READY(4011, Level.INFO, "configuration is ready with revision {}"),
  MANIFEST_UNUSABLE(4012, Level.ERROR, "manifest revision {} from a peer can't be used"),
  LEDGER_STORE_FAILS(5001, Level.WARN, "object service fails for ledger shard {}: {}"),
  LEDGER_STORE_BACK(5002, Level.INFO, "object service works again for ledger shard {}"),
  LEDGER_WRITE_UNKNOWN(5003, Level.WARN, "result of a write of ledger shard {} is not known: {}"),
  UPSTREAM_ERROR(6001, Level.WARN, "upstream {} answered {} to attempt {}: {}"),
  UPSTREAM_CALL_BROKEN(6002, Level.WARN, "upstream {} broke off attempt {}: {}"),
  CANCEL_NOT_ACKNOWLEDGED(6003, Level.WARN, "upstream {} did not acknowledge cancel of {}"),
  GATEWAY_LISTENING(8001, Level.INFO, "listening callers={} readiness={}"),
  GATEWAY_READY(8002, Level.INFO, "ready upstreams={} knows_crash_evidence={}"),
  EVENT_LOOP_DELAYED(8049, Level.WARN, "event loop delayed by {} ms"),
  STORE_REACHABLE(8010, Level.INFO, "store reachable watch={}"),
  STORE_UNREACHABLE(8011, Level.WARN, "store unreachable watch={} reason={}"),
  STORE_READ_SLOW(
      8046,
      Level.WARN,
      "store read slow target={} outcome={} bytes={} wait_ms={} transfer_ms={} decode_ms={}"),
  STORE_RESTORED(8036, Level.WARN, "store restored from an earlier copy watch={}"),
  UPSTREAM_SAID_LEAVING(8037, Level.INFO, "upstream={} says that it is leaving"),
  UPSTREAM_PAUSED(8038, Level.INFO, "upstream={} wants no requests for {} ms"),
  CONFIGURATION_APPLIED(8012, Level.INFO, "configuration in force version={} routes={}"),
  CONFIGURATION_OLD(8013, Level.INFO, "configuration ignored version={} in_force={}"),
  CONFIGURATION_UNREADABLE(8014, Level.WARN, "configuration unreadable object={}"),
  CONFIGURATION_RECEIVED(8047, Level.INFO, "configuration received from a peer version={}"),
  CONFIGURATION_WATCH(8048, Level.INFO, "configuration watched at the store={}"),
  CONFIGURATION_REFUSED(
      8044, Level.ERROR, "configuration refused version={}; the one before stays in force"),
  UPSTREAM_REFUSED(8045, Level.ERROR, "entry of upstream={} refused; the one before stays"),
  UPSTREAMS_LISTED(8015, Level.INFO, "upstreams listed known={}"),
  UPSTREAM_ENTRY(8016, Level.INFO, "upstream={} service={} zone={} leaving={} version={}"),
  UPSTREAM_REMOVED(8018, Level.INFO, "upstream={} removed"),
  REQUEST_SENT(
      8020, Level.INFO, "request={} name={} sent upstream={} reason={} predicted_ms={} content={}"),
  STAGE_SENT(
      8021,
      Level.INFO,
      "request={} attempt={} stage={} upstream={} zone={} version={} events={} content={}"),
  PREFILL_DONE(8022, Level.INFO, "request={} attempt={} prefilled upstream={} tokens={} ms={}"),
  DECISION(8023, Level.INFO, "request={} name={} rule={} detail={}"),
  CALL_FAILED(8024, Level.WARN, "request={} name={} upstream={} failure={} reason={}"),
  REQUEST_ENDED(8025, Level.INFO, "request={} name={} route={} outcome={} status={} detail={}"),
  REQUEST_REJECTED(8026, Level.INFO, "rejected path={} code={} reason={}"),
  REQUEST_UNREADABLE(8027, Level.WARN, "unreadable request path={} reason={}"),
  MEMBERS_CHANGED(8030, Level.INFO, "members live={} unreachable_regions={}"),
  GENERATION_ARRIVED(
      8031,
      Level.INFO,
      "request={} name={} route={} prompt_tokens={} max_output={} hint={} late={} waited_ms={}"
          + " parts={} resumes={}"),
  STREAM_DELIVERED(
      8033,
      Level.INFO,
      "request={} events={} first_event_ms={} longest_pause_ms={} longest_pause_after={}"
          + " ended_by={} partial_event_bytes={}"),
  CALLER_CONNECTION_BROKEN(8032, Level.INFO, "caller connection was broken already reason={}"),
  OBJECT_UNREADABLE(8019, Level.WARN, "object kind={} name={} unreadable reason={}"),
  SETTINGS_CHANGED(
      8029,
      Level.INFO,
      "settings read again seeds={}; all other changes count from the next start"),
  CALL_BROKEN(8034, Level.INFO, "request={} content={} upstream={} probed after its call broke"),
  CALL_ABANDONED(
      8039, Level.INFO, "request={} content={} upstream={} observed after its call was cancelled"),
  STOP_FINISHING(8040, Level.INFO, "accepting no connections, open connections={} requests={}"),
  STOP_ENDING(8041, Level.WARN, "grace period nearly over, open connections={} requests={}"),
  RESPONSE_UNMATCHED(
      8042, Level.WARN, "request={} response without its id skipped from={} status={}"),
  PROCESS_CANNOT_SERVE(8043, Level.ERROR, "this process can't serve and ends: {}"),
  UPSTREAM_PROBED(8035, Level.INFO, "upstream={} new_connection={} crashed={}"),
  KV_NOT_FREED(8028, Level.WARN, "kv={} upstream={} not freed reason={}");

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

  /** Returns the message pattern, with a pair of braces for each argument. */
  public String pattern() {
    return pattern;
  }

  /** The severity of an event. */
  public enum Level {
    INFO,
    WARN,
    ERROR
  }
}
