package org.ragwortpick.forward;

import java.util.List;
import java.util.function.Consumer;
import org.ragwortpick.batch.SubmissionEnd;
import org.ragwortpick.routing.RoutingTable;
import org.ragwortpick.routing.ServiceProfile;

/** Creates the stages of a request from its headers and its route. */
final class RequestStages {

  private RequestStages() {}

  /**
   * Returns the stages that a request has.
   *
   * @param request the request
   * @param names names of headers
   * @param table routing table that was matched
   * @return the graph; without work if the request has no pieces
   */
  static StageGraph graph(CallerRequest request, RoutingHeaders names, RoutingTable table) {
    List<Integer> pieceCounts =
        PieceCounts.parse(
            request.headers().getFirst(names.pieceCount()), request.route().stages().size());
    return StageGraph.of(
        request.route(),
        pieceCounts,
        name -> table.service(name).flatMap(ServiceProfile::batching));
  }

  /**
   * Creates the run of the stages without starting it.
   *
   * @param dependencies dependencies that all requests share
   * @param request the request
   * @param graph its stages
   * @param streamVersion version that may run the request
   * @param prefix shared part of its prompt
   * @param whenEnded receives the handles of the last stages, or the failure
   * @return the run
   */
  static StageGraphRun run(
      ForwardDependencies dependencies,
      CallerRequest request,
      StageGraph graph,
      StreamVersion streamVersion,
      PromptPrefix prefix,
      Consumer<SubmissionEnd> whenEnded) {
    String key = request.headers().getFirst(dependencies.headers().pieceKey());
    return new StageGraphRun(
        request,
        key == null ? "" : key,
        graph,
        streamVersion.isTakeUp(),
        dependencies.responseTimes().averageMs(request.route().name()),
        dependencies.chooser().likelyDataCentre(streamVersion.target(), prefix),
        dependencies.resultLocator(),
        dependencies.stages(),
        dependencies.overloadControl().getAsBoolean(),
        dependencies.clock()::millis,
        whenEnded);
  }
}
