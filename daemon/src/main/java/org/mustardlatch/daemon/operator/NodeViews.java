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
import org.mustardlatch.daemon.node.ManifestInForce;
import org.mustardlatch.daemon.node.Membership;
import org.mustardlatch.daemon.node.NodeState;
import org.mustardlatch.daemon.routing.ExplainLog;
import org.mustardlatch.daemon.routing.RoutingService;
import org.mustardlatch.daemon.upstream.EngineClient;

/** What operators see of the state of a node. */
public final class NodeViews {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final Settings settings;
  private final NodeState state;
  private final ManifestInForce manifest;
  private final Membership members;
  private final RoutingService routing;
  private final EngineClient engines;
  private final Supplier<Map<String, Object>> internals;

  /**
   * Creates views of the given parts.
   *
   * @param internals returns the state of the parts that decide, for a dump; may block for 2 s
   */
  public NodeViews(
      Settings settings,
      NodeState state,
      ManifestInForce manifest,
      Membership members,
      RoutingService routing,
      EngineClient engines,
      Supplier<Map<String, Object>> internals) {
    this.settings = settings;
    this.state = state;
    this.manifest = manifest;
    this.members = members;
    this.routing = routing;
    this.engines = engines;
    this.internals = internals;
  }

  /** Returns the summary. */
  ObjectNode status() {
    ObjectNode status = JsonNodeFactory.instance.objectNode();
    status.put("host", settings.host().value());
    status.put("region", settings.region().value()).put("zone", settings.zone().value());
    status.put("incarnation", members.incarnation());
    status.put("phase", state.phase().name().toLowerCase(Locale.ROOT));
    status.put("ready", state.phase() == NodeState.Phase.READY);
    status.put("revision", manifest.revision());
    manifest.current().ifPresent(m -> status.put("digest", m.digest()));
    status.put("requests_in_progress", routing.requestsInProgress());
    ArrayNode list = status.putArray("members");
    members
        .live()
        .forEach(
            m ->
                list.addObject()
                    .put("host", m.host().value())
                    .put("region", m.region().value())
                    .put("zone", m.zone().value())
                    .put("incarnation", m.incarnation()));
    return status;
  }

  /** Returns the whole state. */
  ObjectNode dump() {
    ObjectNode dump = status();
    dump.put("engine_calls_in_progress", engines.callsInProgress());
    ArrayNode requests = dump.putArray("requests");
    routing.requestIds().forEach(id -> requests.add(id.value()));
    internals.get().forEach((part, value) -> dump.set(part, JSON.valueToTree(value)));
    manifest.current().ifPresent(m -> dump.put("manifest", m.text()));
    return dump;
  }

  /** Returns the decisions about a request. */
  List<ExplainLog.Entry> explain(RequestId request) {
    return routing.explanations().find(request);
  }
}
