package org.mustardlatch.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** Orders that an engine stand-in has taken. */
final class OrderBook {
  private final boolean checksFencing;
  private final List<JsonNode> taken = new ArrayList<>();
  private long highestToken;

  OrderBook(boolean checksFencing) {
    this.checksFencing = checksFencing;
  }

  synchronized void take(JsonNode order) {
    long token = order.path("fencing_token").asLong();
    if (checksFencing && token < highestToken) {
      throw new EngineError(
          409, "stale_fencing_token", "token " + token + " is older than " + highestToken);
    }
    highestToken = Math.max(highestToken, token);
    taken.add(order);
  }

  synchronized List<JsonNode> taken() {
    return List.copyOf(taken);
  }

  synchronized ObjectNode state() {
    ObjectNode state = Json.object().put("fencing_token", highestToken);
    state.putArray("orders").addAll(taken);
    return state;
  }
}
