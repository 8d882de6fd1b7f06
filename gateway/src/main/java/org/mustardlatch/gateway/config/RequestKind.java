package org.mustardlatch.gateway.config;

/** What may be repeated about the requests of a route. */
public enum RequestKind {
  /** May run more than once. */
  IDEMPOTENT,
  /** Runs at most once for each request of a caller. */
  NON_IDEMPOTENT,
  /** Answered by a series of events; may run again only where the route says so. */
  STREAMING
}
