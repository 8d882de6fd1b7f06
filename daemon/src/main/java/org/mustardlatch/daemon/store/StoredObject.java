package org.mustardlatch.daemon.store;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An object as the object service holds it.
 *
 * @param name name within its kind
 * @param version resource version, which every update changes; a conditional update names it
 * @param spec content; must not be modified
 */
public record StoredObject(String name, String version, JsonNode spec) {}
