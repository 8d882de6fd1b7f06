package org.mustardlatch.daemon.upstream;

import com.google.common.io.ByteStreams;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSink;
import okio.ByteString;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.UpstreamId;
import org.mustardlatch.gateway.http.EventStreams;

/** HTTP client for application services. Each call blocks the calling thread until it ends. */
public final class ApplicationClient {
  private static final int MAX_RESPONSE_BYTES = 16 << 20;
  private static final Set<String> METHODS_WITH_BODY = Set.of("POST", "PUT", "PATCH", "DELETE");

  private final UpstreamHosts hosts;

  /** Creates a client for the given upstreams. */
  public ApplicationClient(UpstreamHosts hosts) {
    this.hosts = hosts;
  }

  /**
   * Sends a request at most once, on a connection of its own: on a kept connection that the service
   * has just closed, the outcome would be unknown although the service ran nothing.
   *
   * @param timeout timeout for the whole call
   */
  public ApplicationResult send(UpstreamId upstream, ApplicationRequest request, Duration timeout) {
    Optional<UpstreamHost> host = hosts.find(upstream);
    return host.isEmpty()
        ? new ApplicationResult.NotSent("upstream " + upstream + " is not known")
        : executeCall(host.get(), request, timeout);
  }

  private static ApplicationResult executeCall(
      UpstreamHost host, ApplicationRequest request, Duration timeout) {
    RequestSentListener listener = new RequestSentListener();
    OkHttpClient singleCallClient =
        host.callClient().newBuilder().eventListener(listener).callTimeout(timeout).build();
    HttpUrl url = host.baseUrl().resolve(request.pathAndQuery());
    if (url == null) {
      return new ApplicationResult.NotSent("path is not valid: " + request.pathAndQuery());
    }
    Request.Builder builder = new Request.Builder().url(url);
    request
        .headers()
        .forEach((name, values) -> values.forEach(value -> builder.addHeader(name, value)));
    builder.method(request.method(), body(request));
    try (Response response = singleCallClient.newCall(builder.build()).execute()) {
      byte[] responseBody = readBody(response);
      if (isCutOff(response, responseBody)) {
        return new ApplicationResult.Unknown("connection closed inside an event");
      }
      return new ApplicationResult.Responded(
          response.code(), headers(response), ByteString.of(responseBody));
    } catch (IOException e) {
      host.evictConnections();
      return listener.mayHaveBeenSent()
          ? new ApplicationResult.Unknown(e.toString())
          : new ApplicationResult.NotSent(e.toString());
    }
  }

  /** Returns whether an event stream that only its connection delimits ends inside an event. */
  private static boolean isCutOff(Response response, byte[] body) {
    boolean framed =
        response.header("Content-Length") != null || response.header("Transfer-Encoding") != null;
    return !framed
        && EventStreams.isEventStream(response.header("Content-Type"))
        && !EventStreams.endsAfterEvent(body);
  }

  private static byte[] readBody(Response response) throws IOException {
    byte[] bytes =
        ByteStreams.limit(response.body().byteStream(), MAX_RESPONSE_BYTES + 1L).readAllBytes();
    if (bytes.length > MAX_RESPONSE_BYTES) {
      throw new IOException("answer is longer than " + MAX_RESPONSE_BYTES + " bytes");
    }
    return bytes;
  }

  private static Map<String, List<String>> headers(Response response) {
    Map<String, List<String>> headers = new TreeMap<>();
    response
        .headers()
        .names()
        .forEach(
            name -> {
              if (EndToEndHeaders.passesToCaller(name)) {
                headers.put(name, response.headers(name));
              }
            });
    return headers;
  }

  private static @Nullable RequestBody body(ApplicationRequest request) {
    return METHODS_WITH_BODY.contains(request.method()) ? new OneShotBody(request.body()) : null;
  }

  /**
   * A request body that the HTTP client sends only once, even if the response status allows a
   * retry.
   */
  private static final class OneShotBody extends RequestBody {
    private final ByteString bytes;

    OneShotBody(ByteString bytes) {
      this.bytes = bytes;
    }

    @Override
    public @Nullable MediaType contentType() {
      return null;
    }

    @Override
    public long contentLength() {
      return bytes.size();
    }

    @Override
    public boolean isOneShot() {
      return true;
    }

    @Override
    public void writeTo(BufferedSink sink) throws IOException {
      sink.write(bytes);
    }
  }
}
