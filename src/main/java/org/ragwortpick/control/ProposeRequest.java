package org.ragwortpick.control;

import java.util.Optional;
import org.ragwortpick.config.Inventory;
import org.ragwortpick.config.Rules;

/**
 * Request of an operator to change the inventory, the rules or both.
 *
 * @param requestId identity of the request; a resend carries the same one
 * @param baseRevision revision on which the proposal is based
 * @param inventory new inventory; empty keeps the current one
 * @param rules new rules; empty keeps the current ones. The states of data centres are kept in any
 *     case and must be absent or equal to the current ones
 */
public record ProposeRequest(
    String requestId, long baseRevision, Optional<Inventory> inventory, Optional<Rules> rules) {}
