package org.mustardlatch.daemon.node;

import java.util.List;
import org.mustardlatch.core.routing.Member;

/** The live nodes as this node sees them. */
public interface Membership {
  /** Returns the live nodes, this one included. */
  List<Member> liveMembers();

  /** Returns the incarnation of this node. */
  long incarnation();
}
