package org.mustardlatch.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.mustardlatch.standin.EngineOptions;
import org.mustardlatch.standin.TokenText;

/** Guards against answers that are incomplete, of another request, or leave memory behind. */
class RequestPathTest {
  private final Fleet fleet =
      new Fleet(
          EngineOptions.fast("prefill-1", "prefill"),
          EngineOptions.fast("decode-1", "decode"),
          EngineOptions.fast("decode-2", "decode"));

  @AfterEach
  void close() {
    fleet.close();
  }

  @Test
  void aStreamCarriesTheWholeAnswerAndItsEnd() {
    HttpCalls.Answer answer = complete("write a wedding envelope", 20, true);
    assertThat(answer.text()).isEqualTo(TokenText.answer("write a wedding envelope", 20));
    assertThat(answer.body()).endsWith("data: [DONE]\n\n");
    assertThat(answer.headers()).containsKey("x-request-id");
    fleet.awaitNothingAllocated(Duration.ofSeconds(5));
  }

  @Test
  void anAnswerInOnePieceTellsItsUsage() {
    HttpCalls.Answer answer = complete("write a birthday envelope", 7, false);
    assertThat(answer.text()).isEqualTo(TokenText.answer("write a birthday envelope", 7));
    assertThat(answer.json().path("usage").path("completion_tokens").asInt()).isEqualTo(7);
  }

  private HttpCalls.Answer complete(String prompt, int tokens, boolean stream) {
    String body =
        "{\"model\":\"wording\",\"prompt\":\"%s\",\"max_tokens\":%d,\"stream\":%b}"
            .formatted(prompt, tokens, stream);
    return HttpCalls.post(fleet.url("/v1/completions"), body, "application/json");
  }
}
