package org.mustardlatch.daemon.operator;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;
import org.mustardlatch.core.model.RequestId;
import org.mustardlatch.core.settings.Settings;
import org.mustardlatch.daemon.node.ActiveManifest;
import org.mustardlatch.daemon.node.Membership;
import org.mustardlatch.daemon.node.NodeState;
import org.mustardlatch.daemon.routing.ExplainLog;
import org.mustardlatch.daemon.routing.RoutingService;
import org.mustardlatch.daemon.upstream.EngineClient;

/**
 * Collects the state of this node for the operator interface. Called on the threads of the HTTP
 * server.
 */
public final class NodeInspector {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final Settings settings;
  private final NodeState state;
  private final ActiveManifest manifest;
  private final Membership membership;
  private final RoutingService routing;
  private final EngineClient engines;
  private final Supplier<Map<String, Object>> componentStates;

  /**
   * Creates an inspector of the given components.
   *
   * @param componentStates returns the internal state of components such as routing and peers for a
   *     dump, by their names in the dump; may block for up to 2 s
   */
  public NodeInspector(
      Settings settings,
      NodeState state,
      ActiveManifest manifest,
      Membership membership,
      RoutingService routing,
      EngineClient engines,
      Supplier<Map<String, Object>> componentStates) {
    this.settings = settings;
    this.state = state;
    this.manifest = manifest;
    this.membership = membership;
    this.routing = routing;
    this.engines = engines;
    this.componentStates = componentStates;
  }

  /**
   * Returns a summary: identity and phase of the node, manifest revision, number of requests in
   * progress and live members.
   */
  ObjectNode status() {
    ObjectNode status = JsonNodeFactory.instance.objectNode();
    status.put("host", settings.host().value());
    status.put("region", settings.region().value()).put("zone", settings.zone().value());
    status.put("incarnation", membership.incarnation());
    status.put("phase", state.phase().name().toLowerCase(Locale.ROOT));
    status.put("ready", state.phase() == NodeState.Phase.READY);
    status.put("revision", manifest.revision());
    manifest.current().ifPresent(m -> status.put("digest", m.digest()));
    status.put("requests_in_progress", routing.requestsInProgress());
    ArrayNode members = status.putArray("members");
    membership
        .liveMembers()
        .forEach(
            m ->
                members
                    .addObject()
                    .put("host", m.host().value())
                    .put("region", m.region().value())
                    .put("zone", m.zone().value())
                    .put("incarnation", m.incarnation()));
    return status;
  }

  /** Returns the full state: the summary, requests in progress, component states and manifest. */
  ObjectNode dump() {
    ObjectNode dump = status();
    dump.put("engine_calls_in_progress", engines.callsInProgress());
    ArrayNode requests = dump.putArray("requests");
    routing.requestIds().forEach(id -> requests.add(id.value()));
    componentStates
        .get()
        .forEach((component, value) -> dump.set(component, JSON.valueToTree(value)));
    manifest.current().ifPresent(m -> dump.put("manifest", m.text()));
    return dump;
  }

  /** Returns the routing decisions about a request, oldest first; empty if it is not recorded. */
  List<ExplainLog.Entry> explain(RequestId request) {
    return routing.explanations().find(request);
  }
}
