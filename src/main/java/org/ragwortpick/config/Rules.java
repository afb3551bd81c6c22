package org.ragwortpick.config;

import java.util.List;
import java.util.Map;

/**
 * Operating rules set by the operators.
 *
 * @param neverTwice services whose calls are non-idempotent
 * @param workspaceOrder workspaces with a priority of their own, highest priority first; all others
 *     share the priority below
 * @param minimumSharePercent share of the capacity in percent that is guaranteed to every workspace
 * @param dataCentres state of each data centre; {@code IN} for a data centre that is absent
 */
public record Rules(
    List<String> neverTwice,
    List<String> workspaceOrder,
    int minimumSharePercent,
    Map<String, DataCentreState> dataCentres) {

  /** Empty rules, in use until the first configuration is accepted. */
  public static final Rules EMPTY = new Rules(List.of(), List.of(), 0, Map.of());

  /** Replaces absent collections by empty ones. */
  public Rules {
    neverTwice = neverTwice == null ? List.of() : List.copyOf(neverTwice);
    workspaceOrder = workspaceOrder == null ? List.of() : List.copyOf(workspaceOrder);
    dataCentres = dataCentres == null ? Map.of() : Map.copyOf(dataCentres);
  }
}
