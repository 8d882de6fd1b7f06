package org.mustardlatch.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RequestId;

/**
 * Guards against requests of two nodes with the same name: an admitting node would take the
 * reservation of one for a repetition of the other's.
 */
class RequestNamesTest {
  private static final int REQUESTS = 1_000;

  @Test
  void requestsOfDifferentNodesAndStartsHaveDifferentNames() {
    Set<RequestId> names = new HashSet<>();
    for (String host : new String[] {"front-1", "front-2"}) {
      for (long incarnation : new long[] {1_700_000_000_000L, 1_700_000_000_001L}) {
        RequestNames source = new RequestNames(new HostId(host), incarnation);
        for (int i = 0; i < REQUESTS; i++) {
          names.add(new RequestId(source.next()));
        }
      }
    }
    assertThat(names).hasSize(4 * REQUESTS);
  }
}
