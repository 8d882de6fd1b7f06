package org.mustardlatch.core.ledger;

/**
 * The time at which an event is processed.
 *
 * @param monotonicNanos monotonic time in nanoseconds
 * @param wallClockSeconds wall-clock time in seconds since 1970, used only for the timestamps in
 *     records
 */
public record ClockReading(long monotonicNanos, long wallClockSeconds) {}
