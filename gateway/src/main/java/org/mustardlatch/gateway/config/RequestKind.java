package org.mustardlatch.gateway.config;

/** Whether the requests of a route may be repeated, and how they are answered. */
public enum RequestKind {
  /** A request may run more than once. */
  IDEMPOTENT,
  /** A request must run at most once. */
  NON_IDEMPOTENT,
  /** The response is a stream of events; a request may run again only if the route is resumable. */
  STREAMING
}
