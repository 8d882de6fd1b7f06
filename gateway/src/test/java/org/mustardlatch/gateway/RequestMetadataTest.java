package org.mustardlatch.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.mustardlatch.gateway.RequestMetadata.PromptPart;

/** Guards against numbers in the headers of one request that fill the memory of the node. */
class RequestMetadataTest {
  private static RequestMetadata withTokens(int prompt, int output, int hint, PromptPart... parts) {
    return new RequestMetadata("q", 1_000L, prompt, output, hint, List.of(parts));
  }

  @Test
  void rejectsNumbersThatNoModelTakes() {
    for (int odd : new int[] {-1, Integer.MIN_VALUE, Integer.MAX_VALUE}) {
      assertThrows(IllegalArgumentException.class, () -> withTokens(odd, 1, 0));
      assertThrows(IllegalArgumentException.class, () -> withTokens(1, odd, 0));
      assertThrows(IllegalArgumentException.class, () -> withTokens(1, 1, odd));
      assertThrows(IllegalArgumentException.class, () -> new PromptPart(1, odd));
    }
  }

  @Test
  void partsThatAreLongerThanThePromptMakeNoMoreBlocks() {
    PromptPart longPart = new PromptPart(7, RequestMetadata.MAX_TOKENS);

    assertThat(FleetManifest.prefixBlocks(withTokens(1_000, 1, 0, longPart, longPart)).size())
        .isAtMost(1_000);
    assertThat(FleetManifest.prefixBlocks(withTokens(0, 1, 0, longPart))).isEmpty();
  }
}
