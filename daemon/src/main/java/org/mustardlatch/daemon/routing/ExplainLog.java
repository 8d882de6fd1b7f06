package org.mustardlatch.daemon.routing;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.RequestId;

/**
 * The routing decisions about recent requests, kept in memory for the operator. The oldest requests
 * are evicted first, and only the first decisions of each request are kept. Safe for use by several
 * threads.
 */
public final class ExplainLog {
  /** About 600 bytes each: under 2 MB of the 32 MB that a node may use. */
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

  /** Returns the decisions about a request, oldest first; empty when none are kept. */
  public synchronized List<Entry> find(RequestId request) {
    @Nullable List<Entry> list = entriesByRequest.getIfPresent(request);
    return list == null ? List.of() : List.copyOf(list);
  }

  /**
   * A decision of the routing policy.
   *
   * @param atNanos monotonic time of this node, nanoseconds
   * @param rule name of the rule that made the decision
   * @param detail values that the rule used
   */
  public record Entry(long atNanos, String rule, String detail) {}
}
