package org.ragwortpick.control;

/**
 * Load of a model or adapter that a placement plan requires of an engine.
 *
 * @param upstreamId id of the engine
 * @param action LOAD_MODEL or LOAD_ADAPTER
 * @param model model to load, or the model of the adapter
 * @param version version of the model
 * @param adapter adapter to load; empty unless the action is LOAD_ADAPTER
 */
public record PlannedLoad(
    String upstreamId, OrderAction action, String model, String version, String adapter) {}
