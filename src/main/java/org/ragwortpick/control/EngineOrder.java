package org.ragwortpick.control;

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
   * Tells whether another order asks the same of the same engine.
   *
   * @param other the other order
   * @return true if only the identity and the term differ
   */
  public boolean asksTheSameAs(EngineOrder other) {
    return replaces(other)
        && model.equals(other.model)
        && version.equals(other.version)
        && role.equals(other.role);
  }

  /**
   * Tells whether this order, if it is recorded later, makes another one obsolete.
   *
   * @param other the earlier order
   * @return true if both set the same property of the same engine
   */
  public boolean replaces(EngineOrder other) {
    return upstreamId.equals(other.upstreamId)
        && action == other.action
        && adapter.equals(other.adapter);
  }
}
