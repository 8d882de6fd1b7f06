package org.mustardlatch.gateway;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.mustardlatch.core.model.HostId;
import org.mustardlatch.core.model.RequestId;

/**
 * Names the requests of one start of a node. Names are unique in the fleet, because other nodes
 * identify reservations and runs by them; ids of callers are not.
 */
final class RequestNames {
  private static final int PREFIX_DIGITS = 10;

  private final String prefix;
  private long count;

  RequestNames(HostId host, long incarnation) {
    String start = host.value() + "/" + incarnation;
    String digest = Hashing.sha256().hashString(start, StandardCharsets.UTF_8).toString();
    prefix = digest.substring(0, PREFIX_DIGITS);
  }

  /** Returns a new name, which is a valid {@link RequestId}. */
  String next() {
    count++;
    return prefix + "-" + count;
  }
}
