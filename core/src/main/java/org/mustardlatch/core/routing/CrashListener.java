package org.mustardlatch.core.routing;

import java.util.List;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.UpstreamId;

/** Receives the engine crashes that a cell detects. */
interface CrashListener {
  /**
   * Reports a crash.
   *
   * @param running the requests that ran on the engine
   */
  void engineCrashed(UpstreamId upstream, List<Fingerprint> running);
}
