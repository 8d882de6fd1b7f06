package org.mustardlatch.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** HTTP client of the operator interface of one daemon. */
final class OperatorClient {
  /** Operator address of the daemon in the example settings. */
  static final String DEFAULT_NODE_URL = "http://127.0.0.1:8081";

  private static final MediaType TOML = MediaType.get("application/toml; charset=utf-8");
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final ObjectMapper JSON = new ObjectMapper();

  private final String nodeUrl;
  private final OkHttpClient http =
      new OkHttpClient.Builder().callTimeout(TIMEOUT).retryOnConnectionFailure(false).build();

  OperatorClient(String nodeUrl) {
    this.nodeUrl = nodeUrl;
  }

  /**
   * Publishes a manifest and returns the response of the daemon.
   *
   * @param text manifest in TOML
   * @param baseRevision revision that the manifest replaces; 0 for the first
   */
  JsonNode publish(String text, long baseRevision) {
    HttpUrl url =
        url("/manifest").newBuilder().addQueryParameter("base", "" + baseRevision).build();
    Request request = new Request.Builder().url(url).post(RequestBody.create(text, TOML)).build();
    return parseJson(send(request, "run \"mustardlatch status\" to see the active revision"));
  }

  /** Fetches the text of the active manifest. */
  String fetchManifestText() {
    return get("/manifest");
  }

  /** Requests a graceful stop of the daemon. */
  void drain() {
    Request request =
        new Request.Builder()
            .url(url("/drain"))
            .post(RequestBody.create("", MediaType.get("text/plain")))
            .build();
    send(request, "run \"mustardlatch status\" to see whether the daemon drains");
  }

  /** Fetches a JSON document and returns it indented. */
  String fetchDocument(String path) {
    return parseJson(get(path)).toPrettyString();
  }

  private String get(String path) {
    return send(new Request.Builder().url(url(path)).build(), "try again");
  }

  private HttpUrl url(String path) {
    HttpUrl base = HttpUrl.parse(nodeUrl);
    if (base == null) {
      throw new CommandException(
          "invalid_argument",
          "--node",
          "\"" + nodeUrl + "\" is not an http URL",
          "specify the operator address of a daemon, for example " + DEFAULT_NODE_URL,
          ExitCode.USAGE);
    }
    return base.newBuilder().encodedPath(path).build();
  }

  /**
   * Sends a request and returns the body of a successful response.
   *
   * @param remedyWhenUnknown remedy for the case that the daemon may have executed the request
   */
  private String send(Request request, String remedyWhenUnknown) {
    try (Response response = http.newCall(request).execute()) {
      String body = response.body().string();
      if (response.isSuccessful()) {
        return body;
      }
      throw toException(request, response.code(), body);
    } catch (ConnectException e) {
      throw new CommandException(
          "unreachable",
          request.url().toString(),
          "cannot connect to the daemon: " + e.getMessage(),
          "check --node and that the daemon is running",
          ExitCode.FAILED);
    } catch (IOException e) {
      throw new CommandException(
          "outcome_unknown",
          request.url().toString(),
          "the connection failed before a complete response was received: " + e.getMessage(),
          remedyWhenUnknown,
          ExitCode.OUTCOME_UNKNOWN);
    }
  }

  /** Converts an error response, whose body may not be JSON, to an exception. */
  private static CommandException toException(Request request, int status, String body) {
    JsonNode error;
    try {
      error = JSON.readTree(body).path("error");
    } catch (JsonProcessingException e) {
      error = JSON.createObjectNode();
    }
    String code = error.path("code").asText("http_" + status);
    int exitCode = code.equals("manifest_unknown") ? ExitCode.OUTCOME_UNKNOWN : ExitCode.FAILED;
    return new CommandException(
        code,
        request.url().toString(),
        error.path("message").asText(body),
        error.path("remedy").asText("see docs/operator-guide.md for this code"),
        exitCode);
  }

  private static JsonNode parseJson(String body) {
    try {
      return JSON.readTree(body);
    } catch (JsonProcessingException e) {
      throw new CommandException(
          "malformed_json",
          "response of the daemon",
          String.valueOf(e.getOriginalMessage()),
          "check that --node is the operator address",
          ExitCode.FAILED);
    }
  }
}
