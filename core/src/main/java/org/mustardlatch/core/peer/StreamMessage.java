package org.mustardlatch.core.peer;

import org.jspecify.annotations.Nullable;
import org.mustardlatch.core.model.Fingerprint;
import org.mustardlatch.core.model.ModelId;

/** Messages about the software version of the engine that began a stream. */
public sealed interface StreamMessage extends PeerMessage {
  /** Returns the digest that identifies the stream on all nodes. */
  Fingerprint stream();

  /** Reports that an engine of this software version is about to begin a stream. */
  record StreamBegan(Fingerprint stream, String engineVersion) implements StreamMessage {}

  /** Requests the software version that began a stream; answered by {@link OriginResponse}. */
  record OriginRequest(Fingerprint stream, ModelId model) implements StreamMessage {}

  /**
   * Responds to an {@link OriginRequest}.
   *
   * @param engineVersion software version that began the stream; null if the sender does not know
   * @param severalVersions whether the sender has lately seen engines of several software versions
   */
  record OriginResponse(Fingerprint stream, @Nullable String engineVersion, boolean severalVersions)
      implements StreamMessage {}
}
