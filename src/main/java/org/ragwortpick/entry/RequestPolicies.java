package org.ragwortpick.entry;

import org.ragwortpick.policy.AdmissionController;
import org.ragwortpick.policy.DeadlineBudget;
import org.ragwortpick.policy.HedgePolicy;
import org.ragwortpick.policy.PrefixIndex;
import org.ragwortpick.policy.RetryBudget;
import org.ragwortpick.policy.UpstreamLimiter;
import org.ragwortpick.policy.UpstreamSelector;
import org.ragwortpick.sync.ColdAllowances;

/**
 * Policies that the request path consults.
 *
 * @param admission admission of pipeline requests by workspace
 * @param callAdmission admission of service calls by workspace
 * @param deadlines division of deadlines over stages
 * @param selector selection of upstreams
 * @param limiter slots of each upstream
 * @param allowances leased shares of upstreams in cold start
 * @param retries budget of retries and hedges
 * @param hedges delays after which a hedge is sent
 * @param prefixes engines that hold prompt prefixes
 */
public record RequestPolicies(
    AdmissionController admission,
    AdmissionController callAdmission,
    DeadlineBudget deadlines,
    UpstreamSelector selector,
    UpstreamLimiter limiter,
    ColdAllowances allowances,
    RetryBudget retries,
    HedgePolicy hedges,
    PrefixIndex prefixes) {}
