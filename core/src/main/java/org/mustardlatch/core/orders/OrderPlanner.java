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
 * Derives the orders that are due from what engines report and what the manifest wants. It keeps no
 * state, so a successor comes to the same orders as soon as it has read the engines back.
 */
public final class OrderPlanner {
  private OrderPlanner() {}

  /**
   * Returns the orders that may be given now, at most one for an engine.
   *
   * @param goals what the manifest wants; engines without a view are left alone
   * @param views what the engines reported, one for an engine
   * @param maxLoads weight loads that may be in progress at once in the whole fleet, at least 0
   * @param revision revision of the manifest
   */
  public static List<EngineOrder> plan(
      List<EngineGoal> goals, List<EngineView> views, int maxLoads, long revision) {
    if (maxLoads < 0) {
      throw new IllegalArgumentException("maxLoads must not be negative, got " + maxLoads);
    }
    Map<UpstreamId, EngineView> viewOf =
        views.stream().collect(Collectors.toMap(EngineView::engine, Function.identity()));
    Map<String, List<EngineGoal>> pools =
        goals.stream()
            .collect(Collectors.groupingBy(EngineGoal::pool, TreeMap::new, Collectors.toList()));
    List<EngineOrder> orders = new ArrayList<>();
    for (List<EngineGoal> pool : pools.values()) {
      EngineOrder change = roleChange(pool, viewOf, revision);
      if (change != null) {
        orders.add(change);
      }
    }
    Set<UpstreamId> changing = new HashSet<>();
    orders.forEach(o -> changing.add(o.engine()));
    orders.addAll(loads(pools, viewOf, maxLoads, changing, revision));
    return orders;
  }

  /**
   * Returns the next step of the pool's role change. The engine nearest to drained goes first, so
   * an engine that was told to drain stays the one that changes.
   */
  private static @Nullable EngineOrder roleChange(
      List<EngineGoal> pool, Map<UpstreamId, EngineView> viewOf, long revision) {
    return pool.stream()
        .filter(g -> viewOf.containsKey(g.engine()))
        .filter(g -> view(viewOf, g).role() != g.role())
        .filter(g -> keepsRole(pool, viewOf, g))
        .min(
            Comparator.comparingInt((EngineGoal g) -> view(viewOf, g).heldRequests())
                .thenComparing(EngineGoal::engine))
        .map(g -> step(g, view(viewOf, g), revision))
        .orElse(null);
  }

  private static EngineOrder step(EngineGoal goal, EngineView view, long revision) {
    EngineOrder.Kind kind =
        view.heldRequests() > 0 ? EngineOrder.Kind.DRAIN : EngineOrder.Kind.SET_ROLE;
    return new EngineOrder(goal.engine(), kind, goal.role(), goal.weights(), revision);
  }

  /** Whether another engine of the pool that can serve has what this one's present role does. */
  private static boolean keepsRole(
      List<EngineGoal> pool, Map<UpstreamId, EngineView> viewOf, EngineGoal changing) {
    EngineView old = view(viewOf, changing);
    List<EngineView> others =
        pool.stream()
            .filter(g -> !g.engine().equals(changing.engine()))
            .map(g -> viewOf.get(g.engine()))
            .filter(v -> v != null && !v.loading())
            .toList();
    boolean prefills =
        !old.role().prefills()
            || changing.role().prefills()
            || others.stream().anyMatch(v -> v.role().prefills());
    boolean decodes =
        !old.role().decodes()
            || changing.role().decodes()
            || others.stream().anyMatch(v -> v.role().decodes());
    return prefills && decodes;
  }

  private static List<EngineOrder> loads(
      Map<String, List<EngineGoal>> pools,
      Map<UpstreamId, EngineView> viewOf,
      int maxLoads,
      Set<UpstreamId> changing,
      long revision) {
    long running = viewOf.values().stream().filter(EngineView::loading).count();
    return pools.values().stream()
        .sorted(Comparator.comparingInt(pool -> freeSlots(pool, viewOf)))
        .flatMap(
            pool ->
                pool.stream()
                    .filter(g -> viewOf.containsKey(g.engine()) && !changing.contains(g.engine()))
                    .filter(g -> needsLoad(g, view(viewOf, g))))
        .limit(Math.max(0, maxLoads - running))
        .map(
            g ->
                new EngineOrder(
                    g.engine(),
                    EngineOrder.Kind.LOAD_WEIGHTS,
                    view(viewOf, g).role(),
                    g.weights(),
                    revision))
        .toList();
  }

  private static boolean needsLoad(EngineGoal goal, EngineView view) {
    return !view.loading() && !view.weights().equals(goal.weights());
  }

  private static int freeSlots(List<EngineGoal> pool, Map<UpstreamId, EngineView> viewOf) {
    return pool.stream()
        .map(g -> viewOf.get(g.engine()))
        .mapToInt(v -> v == null ? 0 : v.freeSlots())
        .sum();
  }

  private static EngineView view(Map<UpstreamId, EngineView> viewOf, EngineGoal goal) {
    EngineView view = viewOf.get(goal.engine());
    if (view == null) {
      throw new IllegalStateException("engine " + goal.engine() + " was not read");
    }
    return view;
  }
}
