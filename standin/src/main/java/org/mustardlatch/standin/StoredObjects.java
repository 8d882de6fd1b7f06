package org.mustardlatch.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.jspecify.annotations.Nullable;

/** The objects, by kind and name, with one version counter for all of them. */
final class StoredObjects {
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition changed = lock.newCondition();
  private final TreeMap<String, ObjectNode> objects = new TreeMap<>();
  private long lastVersion;

  /** Result of a conditional update; {@code stored} is null on a conflict. */
  record PutResult(@Nullable ObjectNode stored, boolean created) {}

  /**
   * Stores the object when the expected version is the current one; empty means it must not exist.
   */
  PutResult put(String kind, String name, String expectedVersion, ObjectNode content) {
    lock.lock();
    try {
      ObjectNode old = objects.get(path(kind, name));
      if (!expectedVersion.equals(old == null ? "" : version(old))) {
        return new PutResult(null, false);
      }
      ObjectNode stored = content.deepCopy();
      ObjectNode metadata = stored.withObject("/metadata");
      metadata.put("name", name);
      metadata.put("resourceVersion", Long.toString(++lastVersion));
      objects.put(path(kind, name), stored);
      changed.signalAll();
      return new PutResult(stored, old == null);
    } finally {
      lock.unlock();
    }
  }

  @Nullable ObjectNode get(String kind, String name) {
    lock.lock();
    try {
      return objects.get(path(kind, name));
    } finally {
      lock.unlock();
    }
  }

  boolean delete(String kind, String name) {
    lock.lock();
    try {
      boolean existed = objects.remove(path(kind, name)) != null;
      changed.signalAll();
      return existed;
    } finally {
      lock.unlock();
    }
  }

  List<ObjectNode> list(String kind) {
    lock.lock();
    try {
      return List.copyOf(objects.subMap(kind + "/", kind + "0").values());
    } finally {
      lock.unlock();
    }
  }

  /** Waits until the object has a later version than the given one; null after the time is over. */
  @Nullable ObjectNode awaitLater(String kind, String name, long version, long waitMillis)
      throws InterruptedException {
    lock.lock();
    try {
      long left = TimeUnit.MILLISECONDS.toNanos(waitMillis);
      while (left > 0) {
        ObjectNode current = objects.get(path(kind, name));
        if (current != null && Long.parseLong(version(current)) > version) {
          return current;
        }
        left = changed.awaitNanos(left);
      }
      return null;
    } finally {
      lock.unlock();
    }
  }

  static String version(ObjectNode object) {
    return object.path("metadata").path("resourceVersion").asText("");
  }

  private static String path(String kind, String name) {
    return kind + "/" + name;
  }
}
