package org.mustardlatch.daemon.store;

import static com.google.common.truth.Truth.assertThat;
import static org.mustardlatch.daemon.store.ObjectStoreClientTest.get;

import java.net.URI;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.mustardlatch.daemon.node.EventLoop;
import org.mustardlatch.standin.ObjectServiceFaults;
import org.mustardlatch.standin.ObjectServiceStandin;

/** Guards against lost, duplicate and overwritten publications of a manifest. */
class ManifestStoreTest {
  private static final Duration RESOLVE_TIMEOUT = Duration.ofSeconds(10);
  private static final ObjectStoreTimeouts TIMEOUTS =
      new ObjectStoreTimeouts(
          Duration.ofMillis(500),
          Duration.ofSeconds(5),
          Duration.ofSeconds(5),
          Duration.ofMillis(20));

  private final EventLoop timers = new EventLoop("test");
  private final ObjectServiceStandin standin = new ObjectServiceStandin().start(0);
  private final ObjectStoreClient client =
      new ObjectStoreClient(URI.create(standin.url()), TIMEOUTS, timers);
  private final ManifestStore manifests = new ManifestStore(client, timers, new SecureRandom());

  @AfterEach
  void stop() {
    client.close();
    standin.close();
    timers.stop();
  }

  @Test
  void revisionsIncreaseByOne() throws Exception {
    assertThat(get(manifests.read())).hasValue(ManifestRevision.NONE);
    assertThat(get(manifests.publish(0, "a", RESOLVE_TIMEOUT)))
        .isEqualTo(new PublishResult.Published(1));
    assertThat(get(manifests.publish(1, "b", RESOLVE_TIMEOUT)))
        .isEqualTo(new PublishResult.Published(2));
    assertThat(get(manifests.read())).hasValue(new ManifestRevision(2, "b"));
  }

  @Test
  void ofTwoConcurrentPublishersOneSucceedsAndTheOtherGetsTheConflictingManifest()
      throws Exception {
    CompletableFuture<PublishResult> a = manifests.publish(0, "a", RESOLVE_TIMEOUT);
    CompletableFuture<PublishResult> b = manifests.publish(0, "b", RESOLVE_TIMEOUT);
    List<PublishResult> results = List.of(get(a), get(b));
    String winner = results.get(0) instanceof PublishResult.Published ? "a" : "b";
    assertThat(results)
        .containsExactly(
            new PublishResult.Published(1),
            new PublishResult.Conflict(new ManifestRevision(1, winner)));
  }

  @Test
  void aLostResponseIsResolvedByReadingBackAndThePublicationIsStoredOnce() throws Exception {
    standin.setFaults(ObjectServiceFaults.lostAnswers(1));
    assertThat(get(manifests.publish(0, "a", RESOLVE_TIMEOUT)))
        .isEqualTo(new PublishResult.Published(1));
    assertThat(get(manifests.read())).hasValue(new ManifestRevision(1, "a"));
    assertThat(standin.calls("put")).isEqualTo(1);
  }

  @Test
  void publicationDuringAnOutageIsRefused() throws Exception {
    standin.setFaults(ObjectServiceFaults.DOWN);
    assertThat(get(manifests.publish(0, "a", Duration.ofMillis(300))))
        .isInstanceOf(PublishResult.Refused.class);
    assertThat(get(manifests.read())).isEqualTo(Optional.empty());
  }
}
