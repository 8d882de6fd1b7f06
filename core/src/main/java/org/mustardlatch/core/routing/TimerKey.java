package org.mustardlatch.core.routing;

/**
 * Identifies a timer of a {@link RoutingPolicy}. Setting a timer again replaces the earlier one.
 *
 * @param kind purpose of the timer
 * @param subject request, cell or host that the timer concerns
 */
public record TimerKey(String kind, String subject) {}
