package org.mustardlatch.daemon.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Parsed content of the object {@code manifests/current}.
 *
 * @param current the latest published manifest
 * @param publisherNonces nonces of the last publications, latest first, at most {@link
 *     #MAX_PUBLISHER_NONCES}; a publisher whose response was lost finds its own nonce here even
 *     after later publications
 */
record ManifestObject(ManifestRevision current, List<String> publisherNonces) {
  private static final int MAX_PUBLISHER_NONCES = 16;

  static final ManifestObject EMPTY = new ManifestObject(ManifestRevision.NONE, List.of());

  ManifestObject {
    publisherNonces = List.copyOf(publisherNonces);
  }

  static ManifestObject parse(JsonNode spec) {
    List<String> nonces = new ArrayList<>();
    spec.path("writers").forEach(n -> nonces.add(n.asText()));
    return new ManifestObject(
        new ManifestRevision(spec.path("revision").asLong(), spec.path("text").asText("")), nonces);
  }

  /** Returns the content that publishes a text as the next revision. */
  ManifestObject nextRevision(String text, String nonce) {
    List<String> nonces = new ArrayList<>(List.of(nonce));
    nonces.addAll(
        publisherNonces.subList(0, Math.min(publisherNonces.size(), MAX_PUBLISHER_NONCES - 1)));
    return new ManifestObject(new ManifestRevision(current.revision() + 1, text), nonces);
  }

  ObjectNode toSpec() {
    ObjectNode spec = ObjectStoreClient.JSON.createObjectNode();
    spec.put("revision", current.revision()).put("text", current.text());
    ArrayNode list = spec.putArray("writers");
    publisherNonces.forEach(list::add);
    return spec;
  }
}
