package org.mustardlatch.daemon.http;

import io.netty.handler.codec.http.HttpHeaderValidationUtil;
import io.netty.handler.codec.http.HttpUtil;
import java.io.IOException;
import java.net.ProtocolException;
import java.util.List;
import okhttp3.Headers;
import okhttp3.Interceptor;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSink;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.gateway.http.TransferCodings;

/**
 * Network interceptor that fails calls whose response has an invalid head (RFC 9110, RFC 9112) or
 * may have been cut off by a reset. OkHttp itself passes on names and values as they are, any
 * status that it can parse, and responses whose length or transfer coding it does not know; and it
 * still reads a response when the request could not be written.
 */
public final class ResponseValidator implements Interceptor {
  private static final int MIN_FINAL_STATUS = 200;
  private static final int STATUS_NO_CONTENT = 204;
  private static final int STATUS_NOT_MODIFIED = 304;

  /**
   * {@inheritDoc}
   *
   * @throws ProtocolException if the response is not valid; the connection is closed
   */
  @Override
  public Response intercept(Chain chain) throws IOException {
    Request request = chain.request();
    RequestBody body = request.body();
    if (body == null) {
      return requireValidHead(proceed(chain, request));
    }
    TrackedBody tracked = new TrackedBody(body);
    Request sent = request.newBuilder().method(request.method(), tracked).build();
    Response response = requireValidHead(proceed(chain, sent));
    // A write that meets a reset takes the error, and the connection then ends as if in order.
    if (!tracked.written && endsWithConnection(response)) {
      throw new ProtocolException("connection closed before the request was written");
    }
    return response;
  }

  private static Response requireValidHead(Response response) throws ProtocolException {
    if (response.code() < MIN_FINAL_STATUS) {
      throw new ProtocolException("invalid status " + response.code());
    }
    if (HttpHeaderValidationUtil.validateValidHeaderValue(response.message()) >= 0) {
      throw new ProtocolException("control character in the reason phrase");
    }
    requireValidFields(response.headers());
    requireValidLength(response.headers().values("Content-Length"));
    if (!TransferCodings.areSupported(response.headers().values("Transfer-Encoding"))) {
      throw new ProtocolException("unsupported transfer coding");
    }
    return response;
  }

  private static Response proceed(Chain chain, Request request) throws IOException {
    try {
      return chain.proceed(request);
    } catch (IllegalStateException e) {
      // Thrown for a negative status; a caller of the client expects no unchecked exception.
      throw (ProtocolException) new ProtocolException("invalid response").initCause(e);
    }
  }

  private static void requireValidFields(Headers headers) throws ProtocolException {
    for (int i = 0; i < headers.size(); i++) {
      String name = headers.name(i);
      if (name.isEmpty() || HttpHeaderValidationUtil.validateToken(name) >= 0) {
        throw new ProtocolException("invalid name of a header field");
      }
      if (HttpHeaderValidationUtil.validateValidHeaderValue(headers.value(i)) >= 0) {
        throw new ProtocolException("invalid value of header field " + name);
      }
    }
  }

  private static void requireValidLength(List<String> contentLength) throws ProtocolException {
    if (contentLength.isEmpty()) {
      return;
    }
    try {
      var unused = HttpUtil.normalizeAndGetContentLength(contentLength, false, false);
    } catch (IllegalArgumentException e) {
      throw (ProtocolException) new ProtocolException("invalid Content-Length").initCause(e);
    }
  }

  /**
   * Returns whether only the end of its connection delimits a response to a request with a body.
   */
  private static boolean endsWithConnection(Response response) {
    return response.code() != STATUS_NO_CONTENT
        && response.code() != STATUS_NOT_MODIFIED
        && response.header("Content-Length") == null
        && !"chunked".equalsIgnoreCase(response.header("Transfer-Encoding"));
  }

  /** A request body that records whether all of it was passed to the socket. */
  private static final class TrackedBody extends RequestBody {
    private final RequestBody body;
    private boolean written;

    TrackedBody(RequestBody body) {
      this.body = body;
    }

    @Override
    public @Nullable MediaType contentType() {
      return body.contentType();
    }

    @Override
    public long contentLength() throws IOException {
      return body.contentLength();
    }

    @Override
    public boolean isOneShot() {
      return body.isOneShot();
    }

    @Override
    public void writeTo(BufferedSink sink) throws IOException {
      body.writeTo(sink);
      sink.flush();
      written = true;
    }
  }
}
