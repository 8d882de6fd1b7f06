package org.mustardlatch.daemon;

import java.time.Instant;
import java.util.List;
import org.mustardlatch.core.routing.Member;
import org.mustardlatch.core.settings.Settings;
import org.mustardlatch.daemon.node.Membership;

/** The view of a node without peers. */
final class SingleNode implements Membership {
  private final Member self;

  SingleNode(Settings settings) {
    self =
        new Member(
            settings.host(), settings.region(), settings.zone(), Instant.now().toEpochMilli());
  }

  @Override
  public List<Member> live() {
    return List.of(self);
  }

  @Override
  public long incarnation() {
    return self.incarnation();
  }
}
