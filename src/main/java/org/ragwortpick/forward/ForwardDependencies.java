package org.ragwortpick.forward;

import java.time.Clock;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.ragwortpick.batch.StageRunner;
import org.ragwortpick.entry.Timers;
import org.ragwortpick.entry.WorkCounter;
import org.ragwortpick.entry.http.ReadDelay;
import org.ragwortpick.entry.upstream.HttpCallClient;
import org.ragwortpick.origin.StreamOrigins;
import org.ragwortpick.policy.RetryBudget;
import org.ragwortpick.policy.limit.TokenDemand;
import org.ragwortpick.policy.limit.UpstreamEstimates;
import org.ragwortpick.policy.limit.UpstreamLoads;
import org.ragwortpick.policy.quarantine.ContentQuarantine;
import org.ragwortpick.rollout.VersionTraffic;
import org.ragwortpick.routing.Route;
import org.ragwortpick.sync.ConfigurationView;

/**
 * Dependencies that all forwarded requests share.
 *
 * @param headers names of headers
 * @param configuration configuration view
 * @param chooser chooses upstreams
 * @param viewIsCurrent whether the view of configuration and upstreams was confirmed since the
 *     process last resumed from a suspension
 * @param versions counts responses by version
 * @param estimates load, speed and memory of upstreams
 * @param invalidInput logs headers that cannot be read
 * @param notices reads what upstreams state about themselves
 * @param quarantine holds back prompt parts that end upstreams
 * @param stages runs stages
 * @param overloadControl whether requests are admitted by their whole path
 * @param responseTimes average response times by route
 * @param resultLocator locates results of stages
 * @param callClient sends calls to upstreams
 * @param relays way through other VMs
 * @param retryBudgets retry budget of each service
 * @param timers timers on the I/O thread
 * @param clock monotonic clock
 * @param readDelay bounds how long a request waited until it was read
 * @param accepting whether new requests are accepted
 * @param keepsConnections whether connections of callers stay open after a response
 * @param remainingMs time until a stop aborts requests in flight in milliseconds; {@link
 *     Long#MAX_VALUE} without a stop
 * @param workCounter counter of the requests in flight
 * @param runsInFlight requests in flight that a stop answers
 * @param responseMemory bounds the memory that requests hold for their callers
 * @param streamOrigins versions at which streams began
 * @param versionsSeen versions of the upstreams that the local VM has seen
 * @param metrics counters and histograms
 */
public record ForwardDependencies(
    RoutingHeaders headers,
    ConfigurationView configuration,
    UpstreamChooser chooser,
    BooleanSupplier viewIsCurrent,
    VersionTraffic versions,
    UpstreamEstimates estimates,
    InvalidInputLog invalidInput,
    UpstreamNotices notices,
    ContentQuarantine quarantine,
    StageRunner stages,
    BooleanSupplier overloadControl,
    ResponseTimes responseTimes,
    ResultLocator resultLocator,
    HttpCallClient callClient,
    Relays relays,
    RetryBudgets retryBudgets,
    Timers timers,
    Clock clock,
    ReadDelay readDelay,
    BooleanSupplier accepting,
    BooleanSupplier keepsConnections,
    LongSupplier remainingMs,
    WorkCounter workCounter,
    RunsInFlight runsInFlight,
    ResponseMemory responseMemory,
    StreamOrigins streamOrigins,
    VersionsSeen versionsSeen,
    ForwardMetrics metrics) {

  /** Time that a stop needs beyond the end of a request, to write the end of its response. */
  private static final long STOP_MARGIN_MS = 100;

  /**
   * Returns whether work that begins now ends before a stop aborts it.
   *
   * @param durationMs longest duration of the work in milliseconds
   * @return whether there is no stop, or enough time until its end
   */
  boolean endsBeforeStop(long durationMs) {
    return durationMs <= remainingMs.getAsLong() - STOP_MARGIN_MS;
  }

  /**
   * Returns whether an attempt that begins now is expected to end before a stop aborts it. The
   * request was accepted before and a refusal would waste its stages, so the usual time of its
   * route decides; without one it is begun.
   *
   * @param route route of the request
   * @param requestRemainingMs time until the deadline of the request in milliseconds
   * @return whether there is no stop, or usually enough time until its end
   */
  boolean attemptEndsBeforeStop(Route route, long requestRemainingMs) {
    return endsBeforeStop(Math.min(requestRemainingMs, responseTimes.longTotalMs(route.name())));
  }

  /**
   * Returns the load of upstreams.
   *
   * @return the load
   */
  UpstreamLoads loads() {
    return estimates.loads();
  }

  /**
   * Returns the tokens that a request states. If they cannot be read, they are estimated by those
   * of other requests.
   *
   * @param request the request
   * @param prefix shared part of its prompt
   * @return its tokens
   */
  TokenDemand demandOf(CallerRequest request, PromptPrefix prefix) {
    String text = request.headers().getFirst(headers.tokenUsage());
    if (text == null) {
      return TokenDemand.UNKNOWN;
    }
    OptionalLong tokens = TokenUsage.parse(text);
    if (tokens.isEmpty()) {
      invalidInput.log(
          "tokens of request cannot be read and are estimated",
          "route",
          request.route().name(),
          text);
      return TokenDemand.UNKNOWN;
    }
    return new TokenDemand(tokens.getAsLong(), prefix.tokens(), prefix.hash());
  }

  /** Retry budget of each service. */
  public interface RetryBudgets {

    /**
     * Returns the retry budget of a service.
     *
     * @param service name of the service
     * @return the budget
     */
    RetryBudget of(String service);
  }
}
