package org.mustardlatch.gateway.config;

/**
 * A service that gets a share of a route's requests.
 *
 * @param service name of the service
 * @param weight its share in relation to the other weights of the route, at least 0
 */
public record ServiceWeight(String service, double weight) {}
