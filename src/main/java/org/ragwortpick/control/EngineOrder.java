package org.ragwortpick.control;

import org.ragwortpick.sync.Upstream;

/**
 * Order to an engine, recorded before it is sent.
 *
 * @param orderId identity of the order; a resend carries the same one
 * @param upstreamId engine that receives the order
 * @param action what to do
 * @param model model to load, or the model of the adapter
 * @param version version of the model
 * @param adapter adapter to load; empty unless the action is LOAD_ADAPTER
 * @param role role to take; empty unless the action is SET_ROLE
 * @param term term of the leader that recorded the order
 */
public record EngineOrder(
    String orderId,
    String upstreamId,
    OrderAction action,
    String model,
    String version,
    String adapter,
    String role,
    long term) {

  /**
   * Tells whether this order does what a planned load needs.
   *
   * @param load the load
   * @return true if no further order is needed for it
   */
  public boolean fulfils(PlannedLoad load) {
    return upstreamId.equals(load.upstreamId())
        && action == load.action()
        && model.equals(load.model())
        && version.equals(load.version())
        && adapter.equals(load.adapter());
  }

  /**
   * Tells whether this order, recorded later, makes another one obsolete.
   *
   * @param other the earlier order
   * @return true if both set the same property of the same engine, or if this one loads another
   *     model beside which an adapter was to be loaded
   */
  public boolean replaces(EngineOrder other) {
    boolean sameProperty = action == other.action && adapter.equals(other.adapter);
    boolean adapterOfOldModel =
        action == OrderAction.LOAD_MODEL && other.action == OrderAction.LOAD_ADAPTER;
    return upstreamId.equals(other.upstreamId) && (sameProperty || adapterOfOldModel);
  }

  /**
   * Tells whether the announcement of the engine shows the effect of this order.
   *
   * @param announced the engine
   * @return true if the order needs no repetition; always false for a role, which engines do not
   *     announce
   */
  public boolean isDoneBy(Upstream announced) {
    boolean model =
        announced.model().equals(this.model)
            && (version.isEmpty() || announced.version().equals(version));
    return switch (action) {
      case LOAD_MODEL -> model;
      case LOAD_ADAPTER -> model && announced.adapters().contains(adapter);
      case SET_ROLE -> false;
    };
  }
}
