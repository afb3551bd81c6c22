package org.ragwortpick.control;

import org.ragwortpick.sync.Upstream;

/**
 * Order to an engine, recorded before it is sent.
 *
 * @param orderId identity of the order; a resend carries the same one
 * @param upstreamId id of the engine that receives the order
 * @param action requested action
 * @param model model to load, or the model of the adapter
 * @param version version of the model
 * @param adapter adapter to load; empty unless the action is LOAD_ADAPTER
 * @param role role to change to; empty unless the action is SET_ROLE
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
   * Tells whether this order covers a planned load.
   *
   * @param load the load
   * @return true if no further order is needed for it
   */
  public boolean covers(PlannedLoad load) {
    return upstreamId.equals(load.upstreamId())
        && action == load.action()
        && model.equals(load.model())
        && version.equals(load.version())
        && adapter.equals(load.adapter());
  }

  /**
   * Tells whether this order supersedes an earlier one.
   *
   * @param earlier the earlier order
   * @return true if both set the same property of the same engine, or if this one loads a model and
   *     the earlier one an adapter of the previous model
   */
  public boolean supersedes(EngineOrder earlier) {
    boolean sameProperty = action == earlier.action && adapter.equals(earlier.adapter);
    boolean adapterOfPreviousModel =
        action == OrderAction.LOAD_MODEL && earlier.action == OrderAction.LOAD_ADAPTER;
    return upstreamId.equals(earlier.upstreamId) && (sameProperty || adapterOfPreviousModel);
  }

  /**
   * Tells whether an announcement of the engine shows the effect of this order.
   *
   * @param announced the engine
   * @return true if the order need not be resent; always false for a role, which engines do not
   *     announce
   */
  public boolean isConfirmedBy(Upstream announced) {
    boolean modelLoaded =
        announced.model().equals(model)
            && (version.isEmpty() || announced.version().equals(version));
    return switch (action) {
      case LOAD_MODEL -> modelLoaded;
      case LOAD_ADAPTER -> modelLoaded && announced.adapters().contains(adapter);
      case SET_ROLE -> false;
    };
  }
}
