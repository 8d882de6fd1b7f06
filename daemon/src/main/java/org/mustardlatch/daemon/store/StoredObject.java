package org.mustardlatch.daemon.store;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Snapshot of an object in the object service.
 *
 * @param name name of the object, unique within its kind
 * @param version resource version, which changes with every update; used as the condition of
 *     updates
 * @param spec content of the object; must not be modified
 */
public record StoredObject(String name, String version, JsonNode spec) {}
