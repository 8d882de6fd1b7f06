package org.mustardlatch.core.routing;

import org.mustardlatch.core.model.HostId;

/**
 * An attempt that an engine reports as in progress.
 *
 * @param attempt the ID of the attempt, as sent to the engine in {@code X-Request-Id}
 * @param owner the node that sent the attempt
 * @param incarnation the incarnation of the owner when it sent the attempt
 */
public record ReportedAttempt(String attempt, HostId owner, long incarnation) {}
