package org.mustardlatch.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * HTTP client for tests. It is based on the JDK client, so that it shares no code with the daemon.
 */
final class TestHttpClient {
  private static final HttpClient CLIENT =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private static final ObjectMapper JSON = new ObjectMapper();

  private TestHttpClient() {}

  static Response get(URI url) {
    return send(request(url).GET().build());
  }

  static Response post(URI url, String body, String type, String... headers) {
    HttpRequest.Builder request =
        request(url).header("Content-Type", type).POST(BodyPublishers.ofString(body));
    return send(headers.length == 0 ? request.build() : request.headers(headers).build());
  }

  static HttpRequest.Builder request(URI url) {
    return HttpRequest.newBuilder(url)
        .timeout(Duration.ofSeconds(20))
        .header("Authorization", "Bearer " + InProcessFleet.API_KEY);
  }

  static Response send(HttpRequest request) {
    try {
      HttpResponse<String> response = CLIENT.send(request, BodyHandlers.ofString());
      return new Response(response.statusCode(), response.headers().map(), response.body());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  static JsonNode parse(String text) {
    try {
      return JSON.readTree(text);
    } catch (JsonProcessingException e) {
      throw new AssertionError("not JSON: " + text, e);
    }
  }

  /** HTTP response with its body as text. */
  record Response(int status, Map<String, List<String>> headers, String body) {
    JsonNode json() {
      return parse(body);
    }

    /** Returns the generated text of a streamed or non-streamed completion. */
    String generatedText() {
      if (!body.startsWith("data: ")) {
        return json().path("choices").path(0).path("text").asText();
      }
      StringBuilder text = new StringBuilder();
      body.lines()
          .filter(line -> line.startsWith("data: {"))
          .map(line -> parse(line.substring("data: ".length())))
          .forEach(e -> text.append(e.path("choices").path(0).path("text").asText()));
      return text.toString();
    }

    /** Returns the first value of a header, or an empty string if the header is missing. */
    String header(String name) {
      return headers.getOrDefault(name, List.of("")).get(0);
    }

    /** Returns the code of an error response, or an empty string. */
    String errorCode() {
      return json().path("error").path("code").asText();
    }

    @Override
    public String toString() {
      return status + " " + body;
    }
  }
}
