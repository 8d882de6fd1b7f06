package org.mustardlatch.daemon.http;

import io.netty.handler.codec.http.HttpHeaderValidationUtil;
import io.netty.handler.codec.http.HttpUtil;
import java.io.IOException;
import java.net.ProtocolException;
import java.util.List;
import okhttp3.Headers;
import okhttp3.Interceptor;
import okhttp3.Response;
import org.mustardlatch.gateway.http.TransferCodings;

/**
 * Network interceptor that fails calls whose response has an invalid head (RFC 9110, RFC 9112).
 * OkHttp itself passes on names and values as they are, any status that it can parse, and responses
 * whose length or transfer coding it does not know.
 */
public final class ResponseValidator implements Interceptor {
  private static final int MIN_FINAL_STATUS = 200;

  /**
   * {@inheritDoc}
   *
   * @throws ProtocolException if the head of the response is invalid; the connection is closed
   */
  @Override
  public Response intercept(Chain chain) throws IOException {
    Response response = proceed(chain);
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

  private static Response proceed(Chain chain) throws IOException {
    try {
      return chain.proceed(chain.request());
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
}
