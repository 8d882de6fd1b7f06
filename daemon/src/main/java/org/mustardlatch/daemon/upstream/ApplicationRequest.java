package org.mustardlatch.daemon.upstream;

import java.util.List;
import java.util.Map;
import okio.ByteString;

/**
 * A call for an application service.
 *
 * @param method HTTP method in upper case
 * @param pathAndQuery encoded path and query as the caller sent them, starts with a slash
 * @param headers end-to-end headers
 * @param body body; empty when there is none
 */
public record ApplicationRequest(
    String method, String pathAndQuery, Map<String, List<String>> headers, ByteString body) {}
