package org.ragwortpick.config;

/**
 * Stage of a pipeline.
 *
 * @param name name unique within the pipeline
 * @param service service that runs the stage
 * @param maxTokens maximum number of tokens that a generating stage may produce; 0 for other stages
 */
public record Stage(String name, String service, int maxTokens) {}
