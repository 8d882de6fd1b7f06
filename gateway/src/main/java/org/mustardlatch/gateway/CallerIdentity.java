package org.mustardlatch.gateway;

import org.jspecify.annotations.Nullable;

/**
 * The workspace that upstreams receive, if the configuration has workspaces.
 *
 * @param workspace name of the workspace of the caller's key; null on a public route without one
 */
public record CallerIdentity(@Nullable String workspace) {}
