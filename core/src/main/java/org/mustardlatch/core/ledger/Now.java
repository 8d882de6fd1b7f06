package org.mustardlatch.core.ledger;

/**
 * The time of one turn.
 *
 * @param nanos monotonic time, nanoseconds
 * @param wallSeconds wall-clock time in seconds since 1970, for the times in records only
 */
public record Now(long nanos, long wallSeconds) {}
