package org.mustardlatch.daemon.upstream;

import java.util.List;
import java.util.Map;
import okio.ByteString;

/**
 * An HTTP request to an application service.
 *
 * @param method HTTP method in upper case
 * @param pathAndQuery encoded path and query exactly as the caller sent them, starting with a slash
 * @param headers end-to-end headers, values by name
 * @param body request body; empty when there is none
 */
public record ApplicationRequest(
    String method, String pathAndQuery, Map<String, List<String>> headers, ByteString body) {}
