/**
 * The interface for callers: OpenAI-compatible generation and pass-through routes. A request passes
 * small stages, each in one class: accept, authenticate, limit, classify, admit, dispatch, stream,
 * record.
 */
@NullMarked
package org.mustardlatch.daemon.caller;

import org.jspecify.annotations.NullMarked;
