package org.ragwortpick.entry;

import org.ragwortpick.policy.AdmissionController;
import org.ragwortpick.policy.DeadlineBudget;
import org.ragwortpick.policy.HedgePolicy;
import org.ragwortpick.policy.PrefixIndex;
import org.ragwortpick.policy.RetryBudget;
import org.ragwortpick.policy.UpstreamLimiter;
import org.ragwortpick.policy.UpstreamSelector;
import org.ragwortpick.policy.limit.LeavingUpstreams;
import org.ragwortpick.policy.limit.RequestedPauses;
import org.ragwortpick.sync.ColdAllowances;

/**
 * Policies that the request path consults.
 *
 * @param admission admission of pipeline requests by workspace
 * @param callAdmission admission of service calls by workspace
 * @param deadlineBudget division of deadlines over stages
 * @param selector selection of upstreams
 * @param limiter slots of each upstream
 * @param leaving upstreams that stated in a response that they are leaving
 * @param pauses pauses that upstreams requested
 * @param coldAllowances leased shares of upstreams in cold start
 * @param retryBudget budget of retries and hedges
 * @param hedgePolicy delays after which a hedge is sent
 * @param prefixIndex engines that hold prompt prefixes
 */
public record RequestPolicies(
    AdmissionController admission,
    AdmissionController callAdmission,
    DeadlineBudget deadlineBudget,
    UpstreamSelector selector,
    UpstreamLimiter limiter,
    LeavingUpstreams leaving,
    RequestedPauses pauses,
    ColdAllowances coldAllowances,
    RetryBudget retryBudget,
    HedgePolicy hedgePolicy,
    PrefixIndex prefixIndex) {}
