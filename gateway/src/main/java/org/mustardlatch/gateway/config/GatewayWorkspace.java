package org.mustardlatch.gateway.config;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.budget.Allowance;

/**
 * A workspace: the owner of API keys, of an allowance and of a rank.
 *
 * @param name name that upstreams get
 * @param apiKeys the keys of its callers
 * @param rank urgency of its requests, at least 0; 0 is the most urgent
 * @param allowance what it may spend; null for no limit
 */
public record GatewayWorkspace(
    String name, List<String> apiKeys, int rank, @Nullable Allowance allowance) {
  /** Copies the list and checks the name and the rank. */
  public GatewayWorkspace {
    apiKeys = List.copyOf(apiKeys);
    if (name.isBlank()) {
      throw new IllegalArgumentException("a workspace has no name");
    }
    if (rank < 0) {
      throw new IllegalArgumentException("rank of workspace " + name + " is " + rank);
    }
  }

  /** Leaves out the keys, which must not appear in a log. */
  @Override
  public String toString() {
    return "GatewayWorkspace[name=" + name + ", keys=" + apiKeys.size() + "]";
  }
}
