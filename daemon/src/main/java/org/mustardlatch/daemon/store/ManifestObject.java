package org.mustardlatch.daemon.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Content of the object {@code manifests/current}.
 *
 * @param current the manifest in it
 * @param publisherNonces nonces of the last publications, the latest first; a publisher whose answer was
 *     lost finds its own nonce here even after another publication
 */
record ManifestObject(ManifestRevision current, List<String> publisherNonces) {
  private static final int MAX_PUBLISHER_NONCES = 16;

  static final ManifestObject EMPTY = new ManifestObject(ManifestRevision.NONE, List.of());

  ManifestObject {
    publisherNonces = List.copyOf(publisherNonces);
  }

  static ManifestObject parse(JsonNode spec) {
    List<String> writers = new ArrayList<>();
    spec.path("writers").forEach(w -> writers.add(w.asText()));
    return new ManifestObject(
        new ManifestRevision(spec.path("revision").asLong(), spec.path("text").asText("")),
        writers);
  }

  ManifestObject nextRevision(String text, String nonce) {
    List<String> kept = new ArrayList<>(List.of(nonce));
    kept.addAll(publisherNonces.subList(0, Math.min(publisherNonces.size(), MAX_PUBLISHER_NONCES - 1)));
    return new ManifestObject(new ManifestRevision(current.revision() + 1, text), kept);
  }

  ObjectNode toSpec() {
    ObjectNode spec = ObjectStoreClient.JSON.createObjectNode();
    spec.put("revision", current.revision()).put("text", current.text());
    ArrayNode list = spec.putArray("writers");
    publisherNonces.forEach(list::add);
    return spec;
  }
}
