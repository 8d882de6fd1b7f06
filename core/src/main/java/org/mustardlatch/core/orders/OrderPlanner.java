package org.mustardlatch.core.orders;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.UpstreamId;

/**
 * Derives the next orders from the reported and the desired states of the engines. The planner is
 * stateless, so a new holder of the lease derives the same orders as soon as it has read the
 * engines.
 */
public final class OrderPlanner {
  private OrderPlanner() {}

  /**
   * Returns the orders that may be sent now, at most one per engine.
   *
   * @param desired states that the manifest specifies; engines without a reported state get no
   *     order
   * @param reported states that the engines reported, one per engine
   * @param maxConcurrentLoads maximum number of weight loads in progress at once in the whole
   *     fleet, at least 0
   * @param revision revision of the manifest
   */
  public static List<EngineOrder> plan(
      List<DesiredEngineState> desired,
      List<ReportedEngineState> reported,
      int maxConcurrentLoads,
      long revision) {
    if (maxConcurrentLoads < 0) {
      throw new IllegalArgumentException(
          "maxConcurrentLoads must not be negative, got " + maxConcurrentLoads);
    }
    Map<UpstreamId, ReportedEngineState> reportedByEngine =
        reported.stream()
            .collect(Collectors.toMap(ReportedEngineState::engine, Function.identity()));
    Map<String, List<DesiredEngineState>> pools =
        desired.stream()
            .collect(
                Collectors.groupingBy(DesiredEngineState::pool, TreeMap::new, Collectors.toList()));
    List<EngineOrder> orders = new ArrayList<>();
    for (List<DesiredEngineState> pool : pools.values()) {
      EngineOrder change = nextRoleChange(pool, reportedByEngine, revision);
      if (change != null) {
        orders.add(change);
      }
    }
    Set<UpstreamId> enginesWithOrder = new HashSet<>();
    orders.forEach(o -> enginesWithOrder.add(o.engine()));
    orders.addAll(
        loadOrders(pools, reportedByEngine, maxConcurrentLoads, enginesWithOrder, revision));
    return orders;
  }

  /**
   * Returns the next order for a role change in the pool, or null if there is none. The engine with
   * the fewest open requests goes first, so that an engine that was ordered to drain remains the
   * one whose role changes.
   */
  private static @Nullable EngineOrder nextRoleChange(
      List<DesiredEngineState> pool,
      Map<UpstreamId, ReportedEngineState> reportedByEngine,
      long revision) {
    return pool.stream()
        .filter(d -> reportedByEngine.containsKey(d.engine()))
        .filter(d -> reportedState(reportedByEngine, d).role() != d.role())
        .filter(d -> poolKeepsStages(pool, reportedByEngine, d))
        .min(
            Comparator.comparingInt(
                    (DesiredEngineState d) -> reportedState(reportedByEngine, d).openRequests())
                .thenComparing(DesiredEngineState::engine))
        .map(d -> roleChangeOrder(d, reportedState(reportedByEngine, d), revision))
        .orElse(null);
  }

  private static EngineOrder roleChangeOrder(
      DesiredEngineState desired, ReportedEngineState reported, long revision) {
    EngineOrder.Kind kind =
        reported.openRequests() > 0 ? EngineOrder.Kind.DRAIN : EngineOrder.Kind.SET_ROLE;
    return new EngineOrder(desired.engine(), kind, desired.role(), desired.weights(), revision);
  }

  /**
   * Returns whether the pool still serves each stage (prefill, decode) of the engine's current role
   * after the role change, by the new role or by another engine that is not loading weights.
   */
  private static boolean poolKeepsStages(
      List<DesiredEngineState> pool,
      Map<UpstreamId, ReportedEngineState> reportedByEngine,
      DesiredEngineState changing) {
    ReportedEngineState current = reportedState(reportedByEngine, changing);
    List<ReportedEngineState> others =
        pool.stream()
            .filter(d -> !d.engine().equals(changing.engine()))
            .map(d -> reportedByEngine.get(d.engine()))
            .filter(r -> r != null && !r.loading())
            .toList();
    boolean prefillServed =
        !current.role().prefills()
            || changing.role().prefills()
            || others.stream().anyMatch(r -> r.role().prefills());
    boolean decodeServed =
        !current.role().decodes()
            || changing.role().decodes()
            || others.stream().anyMatch(r -> r.role().decodes());
    return prefillServed && decodeServed;
  }

  /** Returns the orders to load weights, beginning with the pool that has the fewest free slots. */
  private static List<EngineOrder> loadOrders(
      Map<String, List<DesiredEngineState>> pools,
      Map<UpstreamId, ReportedEngineState> reportedByEngine,
      int maxConcurrentLoads,
      Set<UpstreamId> enginesWithOrder,
      long revision) {
    long loadsInProgress =
        reportedByEngine.values().stream().filter(ReportedEngineState::loading).count();
    return pools.values().stream()
        .sorted(Comparator.comparingInt(pool -> freeSlotsOf(pool, reportedByEngine)))
        .flatMap(
            pool ->
                pool.stream()
                    .filter(
                        d ->
                            reportedByEngine.containsKey(d.engine())
                                && !enginesWithOrder.contains(d.engine()))
                    .filter(d -> needsLoad(d, reportedState(reportedByEngine, d))))
        .limit(Math.max(0, maxConcurrentLoads - loadsInProgress))
        .map(
            d ->
                new EngineOrder(
                    d.engine(),
                    EngineOrder.Kind.LOAD_WEIGHTS,
                    reportedState(reportedByEngine, d).role(),
                    d.weights(),
                    revision))
        .toList();
  }

  private static boolean needsLoad(DesiredEngineState desired, ReportedEngineState reported) {
    return !reported.loading() && !reported.weights().equals(desired.weights());
  }

  private static int freeSlotsOf(
      List<DesiredEngineState> pool, Map<UpstreamId, ReportedEngineState> reportedByEngine) {
    return pool.stream()
        .map(d -> reportedByEngine.get(d.engine()))
        .mapToInt(r -> r == null ? 0 : r.freeSlots())
        .sum();
  }

  private static ReportedEngineState reportedState(
      Map<UpstreamId, ReportedEngineState> reportedByEngine, DesiredEngineState desired) {
    ReportedEngineState reported = reportedByEngine.get(desired.engine());
    if (reported == null) {
      throw new IllegalStateException("engine " + desired.engine() + " was not read");
    }
    return reported;
  }
}
