package org.mustardlatch.daemon;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Test;
import org.mustardlatch.standin.EngineOptions;

/** Guards against a dump that omits the state of routing or of the peers, or the manifest. */
class DumpTest {
  @Test
  void aDumpContainsRoutingPeersAndManifest() {
    try (InProcessFleet fleet =
        new InProcessFleet(
            EngineOptions.fast("prefill-1", "prefill"), EngineOptions.fast("d-1", "decode"))) {
      JsonNode dump = TestHttpClient.get(fleet.operatorUrl("/dump")).json();
      assertThat(dump.path("routing").path("admitted_engines")).hasSize(2);
      assertThat(dump.path("routing").path("open_requests").asInt(-1)).isEqualTo(0);
      assertThat(dump.path("peers").path("membership").path("incarnation").asLong())
          .isGreaterThan(0);
      assertThat(dump.path("peer_counters").isObject()).isTrue();
      assertThat(dump.path("manifest").asText()).contains("[[upstream]]");
    }
  }
}
