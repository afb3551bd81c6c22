package org.ragwortpick.entry.pipeline;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Complete response of a stage.
 *
 * @param status HTTP status of the upstream
 * @param body unchanged response body; empty for a stream
 * @param output output for the next stage; null if the response is passed through
 */
public record StageResponse(int status, byte[] body, JsonNode output) {}
