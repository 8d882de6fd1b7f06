package org.mustardlatch.gateway.config;

/**
 * A service and its share of the requests of a route.
 *
 * @param service name of the service
 * @param weight its share relative to the other weights of the route, at least 0
 */
public record ServiceWeight(String service, double weight) {}
