package org.ragwortpick.entry.pipeline;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Complete answer of a stage.
 *
 * @param status HTTP status of the upstream
 * @param body body as received; empty for a stream
 * @param output output for the next stage; null for an opaque stage
 */
public record StageAnswer(int status, byte[] body, JsonNode output) {}
