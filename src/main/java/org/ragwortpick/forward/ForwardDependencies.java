package org.ragwortpick.forward;

import java.time.Clock;
import java.util.function.BooleanSupplier;
import org.ragwortpick.batch.StageRunner;
import org.ragwortpick.entry.Timers;
import org.ragwortpick.entry.WorkCounter;
import org.ragwortpick.entry.upstream.HttpCalls;
import org.ragwortpick.policy.RetryBudget;
import org.ragwortpick.policy.limit.UpstreamLoads;
import org.ragwortpick.sync.ConfigurationView;

/**
 * What all forwarded requests share.
 *
 * @param headers names of headers
 * @param configuration configuration view
 * @param chooser chooses upstreams
 * @param viewIsCurrent whether the view was confirmed since the process last woke from a suspension
 * @param loads load of upstreams
 * @param stages runs stages
 * @param answerTimes time from a send to its answer by route
 * @param places finds results of stages
 * @param calls sends calls to upstreams
 * @param retryBudgets budget of each service for requests that are sent again
 * @param timers timers on the I/O thread
 * @param clock monotonic clock
 * @param accepting whether new requests are accepted
 * @param keepsConnections whether callers may keep their connections
 * @param work counter of the requests in flight
 * @param metrics counters and histograms
 */
public record ForwardDependencies(
    RoutingHeaders headers,
    ConfigurationView configuration,
    UpstreamChooser chooser,
    BooleanSupplier viewIsCurrent,
    UpstreamLoads loads,
    StageRunner stages,
    AnswerTimes answerTimes,
    ResultPlaces places,
    HttpCalls calls,
    RetryBudgets retryBudgets,
    Timers timers,
    Clock clock,
    BooleanSupplier accepting,
    BooleanSupplier keepsConnections,
    WorkCounter work,
    ForwardMetrics metrics) {

  /** Budget of each service for requests that are sent again. */
  public interface RetryBudgets {

    /**
     * Returns the budget of a service.
     *
     * @param service name of the service
     * @return the budget
     */
    RetryBudget of(String service);
  }
}
