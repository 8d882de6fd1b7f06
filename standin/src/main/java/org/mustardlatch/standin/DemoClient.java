package org.mustardlatch.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.kohsuke.args4j.Option;

/**
 * A caller for the demonstration. It prints a streamed answer as it arrives and checks that the
 * answer is the whole one of its own prompt, or sends a confirmation.
 */
public final class DemoClient {
  private static final MediaType JSON = MediaType.get("application/json");

  private static final int STATUS_REFUSED = 503;
  private static final int MAX_ATTEMPTS = 5;

  private final PrintStream out;
  private boolean whole;
  private final OkHttpClient http =
      new OkHttpClient.Builder().readTimeout(Duration.ofSeconds(30)).build();

  DemoClient(PrintStream out) {
    this.out = out;
  }

  /** Streams an answer; comes back as the caller guide says while it is refused as not run. */
  boolean stream(String url, String apiKey, String prompt, int tokens)
      throws IOException, InterruptedException {
    for (int attempt = 1; attempt < MAX_ATTEMPTS; attempt++) {
      String retryAfter = streamOnce(url, apiKey, prompt, tokens);
      if (retryAfter.isEmpty()) {
        return whole;
      }
      out.println("refused; comes back after " + retryAfter + " s");
      boolean unused = new CountDownLatch(1).await(Long.parseLong(retryAfter), TimeUnit.SECONDS);
    }
    return streamOnce(url, apiKey, prompt, tokens).isEmpty() && whole;
  }

  /** Returns the value of {@code Retry-After} of a refusal; empty for any other end. */
  private String streamOnce(String url, String apiKey, String prompt, int tokens)
      throws IOException {
    ObjectNode body = Json.object();
    body.put("model", "wording").put("prompt", prompt).put("max_tokens", tokens);
    body.put("stream", true);
    Request request =
        request(url + "/v1/completions", apiKey)
            .post(RequestBody.create(body.toString(), JSON))
            .build();
    try (Response response = http.newCall(request).execute()) {
      out.println("request " + response.header("X-Request-Id") + ": " + response.code());
      if (response.code() != 200) {
        out.println(response.body().string());
        whole = false;
        String after = response.header("Retry-After");
        return response.code() == STATUS_REFUSED && after != null ? after : "";
      }
      StringBuilder answer = new StringBuilder();
      boolean ended = false;
      for (String line; (line = response.body().source().readUtf8Line()) != null; ) {
        if (line.equals("data: [DONE]")) {
          ended = true;
        } else if (line.startsWith("data: ")) {
          JsonNode event = Json.read(line.substring("data: ".length()));
          String text = event.path("choices").path(0).path("text").asText();
          out.print(text);
          out.flush();
          answer.append(text);
        }
      }
      whole = ended && answer.toString().equals(TokenText.answer(prompt, tokens));
      out.println();
      out.println(whole ? "whole answer, as expected" : "WRONG or incomplete answer");
      return "";
    }
  }

  /** Sends a confirmation; returns whether it was accepted or its recorded answer came. */
  boolean confirm(String url, String apiKey, String key) throws IOException {
    Request request =
        request(url + "/orders/confirm", apiKey)
            .header("Idempotency-Key", key)
            .post(RequestBody.create("{\"order\":\"demo\"}", JSON))
            .build();
    try (Response response = http.newCall(request).execute()) {
      out.println(response.code() + " " + response.body().string());
      return response.isSuccessful();
    }
  }

  /** Returns whether a URL answers with success. */
  boolean answers(String url) {
    try (Response response = http.newCall(new Request.Builder().url(url).build()).execute()) {
      return response.isSuccessful();
    } catch (IOException e) {
      return false;
    }
  }

  private static Request.Builder request(String url, String apiKey) {
    return new Request.Builder().url(url).header("Authorization", "Bearer " + apiKey);
  }

  /** Makes one call; exits with 0 when it succeeded, 1 when not, 2 on wrong arguments. */
  public static void main(String[] args) throws IOException, InterruptedException {
    Arguments arguments = new Arguments();
    StandinMain.parse(arguments, args);
    System.exit(arguments.run(new DemoClient(System.out)) ? 0 : 1);
  }

  private static final class Arguments {
    @Option(name = "--url", usage = "base URL of a daemon")
    private String url = "";

    @Option(name = "--api-key", usage = "API key of the workspace")
    private String apiKey = "demo-key";

    @Option(name = "--prompt", usage = "prompt of a streamed request")
    private String prompt = "Anna and Juan, 12 May";

    @Option(name = "--tokens", usage = "length of the answer, tokens")
    private int tokens = 24;

    @Option(name = "--confirm", usage = "send a confirmation with this Idempotency-Key instead")
    private String confirm = "";

    @Option(name = "--await", usage = "only tell whether this URL answers with success")
    private String await = "";

    boolean run(DemoClient client) throws IOException, InterruptedException {
      if (!await.isEmpty()) {
        return client.answers(await);
      }
      return confirm.isEmpty()
          ? client.stream(url, apiKey, prompt, tokens)
          : client.confirm(url, apiKey, confirm);
    }
  }
}
