package org.mustardlatch.core.routing;

/**
 * Names a timer of the routing decisions. Setting a timer again replaces the earlier one.
 *
 * @param kind what the timer is for
 * @param subject the request, attempt or cell that it concerns
 */
public record TimerKey(String kind, String subject) {}
