package org.mustardlatch.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/** How callers and upstreams of a platform say in HTTP what the data path must know. */
public interface UpstreamProtocol {
  /**
   * Reads a request of a caller.
   *
   * @throws IllegalArgumentException if a header that routing needs can't be read
   */
  CallerRequest read(HttpHeaders headers);

  /** Removes the headers that only the router may set and sets those of a call. */
  void prepare(HttpHeaders headers, UpstreamCallPlan plan);

  /** Reads the head of an upstream's answer; a header that can't be read counts as absent. */
  UpstreamHead read(HttpResponse response);

  /**
   * Reads the answer to a prefill.
   *
   * @throws IllegalArgumentException if it can't be read
   */
  ExportedKv readExport(byte[] body);

  /** Returns the request that frees a KV cache at the engine that holds it. */
  HttpRequest release(UpstreamCallPlan.Work.Decode kv);
}
