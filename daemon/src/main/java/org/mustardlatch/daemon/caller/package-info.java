/**
 * The HTTP interface for callers: OpenAI-compatible generation and pass-through routes. A request
 * passes these stages, each in a small class: accept, authenticate, limit, classify, admit,
 * dispatch, stream, record. Each caller belongs to a workspace, which its API key identifies.
 */
@NullMarked
package org.mustardlatch.daemon.caller;

import org.jspecify.annotations.NullMarked;
