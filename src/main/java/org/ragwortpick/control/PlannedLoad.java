package org.ragwortpick.control;

/**
 * Load that an engine needs so that the remaining data centres can run what they must.
 *
 * @param upstreamId engine
 * @param action LOAD_MODEL or LOAD_ADAPTER
 * @param model model to load, or the model of the adapter
 * @param version version of the model
 * @param adapter adapter to load; empty unless the action is LOAD_ADAPTER
 */
public record PlannedLoad(
    String upstreamId, OrderAction action, String model, String version, String adapter) {}
