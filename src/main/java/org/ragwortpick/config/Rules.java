package org.ragwortpick.config;

import java.util.List;
import java.util.Map;

/**
 * Rules of the operators.
 *
 * @param neverTwice services whose calls are non-idempotent
 * @param workspaceOrder workspaces that come first, highest rank first; others share the rank below
 * @param minimumSharePercent share of the capacity in percent that every workspace can count on
 * @param dataCentres state of each data centre; a data centre that is absent is in
 */
public record Rules(
    List<String> neverTwice,
    List<String> workspaceOrder,
    int minimumSharePercent,
    Map<String, DataCentreState> dataCentres) {

  /** Rules of a system that has no configuration yet. */
  public static final Rules EMPTY = new Rules(List.of(), List.of(), 0, Map.of());

  /** Replaces absent collections by empty ones. */
  public Rules {
    neverTwice = neverTwice == null ? List.of() : List.copyOf(neverTwice);
    workspaceOrder = workspaceOrder == null ? List.of() : List.copyOf(workspaceOrder);
    dataCentres = dataCentres == null ? Map.of() : Map.copyOf(dataCentres);
  }
}
