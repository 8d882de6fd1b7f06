package org.mustardlatch.core.manifest;

import java.time.Duration;
import org.mustardlatch.core.model.ModelId;

/**
 * A model and its latency targets.
 *
 * @param id name that callers use
 * @param firstTokenTarget time from arrival to the first token
 * @param tokenGapTarget time between tokens
 * @param maxPromptTokens longest prompt that is accepted, tokens
 * @param kvBytesPerToken size of the KV cache of one prompt token, bytes
 */
public record Model(
    ModelId id,
    Duration firstTokenTarget,
    Duration tokenGapTarget,
    int maxPromptTokens,
    long kvBytesPerToken) {}
