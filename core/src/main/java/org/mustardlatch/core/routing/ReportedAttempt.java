package org.mustardlatch.core.routing;

import org.mustardlatch.core.model.HostId;

/**
 * An attempt that an engine says it holds.
 *
 * @param attempt the engine's name for it, as sent in {@code X-Request-Id}
 * @param owner the node that sent it
 * @param incarnation the incarnation of that node
 */
public record ReportedAttempt(String attempt, HostId owner, long incarnation) {}
