package org.mustardlatch.daemon.routing;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.RequestId;

/** The decisions about recent requests; the oldest requests are forgotten first. */
public final class ExplainLog {
  /** At about 600 bytes a request this takes under 2 MB of the node's 32 MB. */
  private static final int MAX_REQUESTS = 2_000;

  private static final int MAX_ENTRIES_PER_REQUEST = 64;

  private final Cache<RequestId, List<Entry>> entriesByRequest =
      CacheBuilder.newBuilder().maximumSize(MAX_REQUESTS).build();

  synchronized void add(RequestId request, Entry entry) {
    List<Entry> list = entriesByRequest.getIfPresent(request);
    if (list == null) {
      list = new ArrayList<>();
      entriesByRequest.put(request, list);
    }
    if (list.size() < MAX_ENTRIES_PER_REQUEST) {
      list.add(entry);
    }
  }

  /** Returns the decisions about a request, oldest first; empty when it is not known. */
  public synchronized List<Entry> find(RequestId request) {
    @Nullable List<Entry> list = entriesByRequest.getIfPresent(request);
    return list == null ? List.of() : List.copyOf(list);
  }

  /**
   * A decision.
   *
   * @param atNanos monotonic time of this node
   * @param rule name of the rule that decided
   * @param detail the figures that it used
   */
  public record Entry(long atNanos, String rule, String detail) {}
}
