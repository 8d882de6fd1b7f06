package org.mustardlatch.daemon.node;

import java.util.List;
import org.mustardlatch.core.routing.Member;

/** Membership of the fleet as observed by this node. */
public interface Membership {
  /** Returns the live nodes, including this node. */
  List<Member> liveMembers();

  /** Returns the current incarnation of this node. */
  long incarnation();
}
