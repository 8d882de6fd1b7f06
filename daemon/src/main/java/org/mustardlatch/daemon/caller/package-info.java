/**
 * The HTTP interface for callers, the clients that send requests to the router: OpenAI-compatible
 * generation, and pass-through routes to application services. Each caller belongs to a workspace,
 * which its API key identifies.
 *
 * <p>A request passes these stages, each in a small class: check that the node accepts requests,
 * authenticate, parse the generation request or find the pass-through route, apply the limits of
 * the workspace. A generation request then goes to the {@linkplain
 * org.mustardlatch.daemon.routing.RoutingService routing service}, which admits it and dispatches
 * it to engines, and its output is streamed to the caller. A pass-through request is sent to a
 * service by the {@linkplain org.mustardlatch.daemon.upstream.ApplicationClient application
 * client}; unless its route is idempotent, the ledger records its outcome.
 */
@NullMarked
package org.mustardlatch.daemon.caller;

import org.jspecify.annotations.NullMarked;
