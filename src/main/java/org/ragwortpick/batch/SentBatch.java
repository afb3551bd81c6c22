package org.ragwortpick.batch;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.ragwortpick.logging.DecisionLine;
import org.ragwortpick.sync.Upstream;

/**
 * One call to an upstream, with the facts that its log line states.
 *
 * @param service name of the service
 * @param upstream upstream that was called
 * @param revision revision of the configuration by which the upstream was chosen
 * @param pieces pieces of the call
 * @param sentAtMs monotonic time of the choice in milliseconds
 * @param statedMs duration of the call according to the profile in milliseconds
 */
record SentBatch(
    String service,
    Upstream upstream,
    long revision,
    List<WaitingPiece> pieces,
    long sentAtMs,
    double statedMs) {

  private static final Logger LOG = Logger.getLogger(SentBatch.class);

  /**
   * Returns the size of the results of all pieces.
   *
   * @return size in bytes
   */
  long resultBytes() {
    return pieces.stream().mapToLong(piece -> piece.submission().work().resultBytes()).sum();
  }

  /**
   * Logs that the call was answered.
   *
   * @param results results of the pieces
   * @param nowMs monotonic time in milliseconds
   * @param waitingPieces pieces that wait in the queue
   */
  void logAnswered(List<PieceResult> results, long nowMs, int waitingPieces) {
    line("batch answered")
        .with("pieces", pieces.size())
        .with("tookMs", nowMs - sentAtMs)
        .with("statedMs", (long) statedMs)
        .with("notProduced", countCauses(results))
        .with("waitingPieces", waitingPieces)
        .info(LOG);
  }

  /**
   * Logs that the call was not answered.
   *
   * @param outcome outcome of the call
   * @param nowMs monotonic time in milliseconds
   * @param pausedMs time for which the upstream gets no call in milliseconds
   */
  void logNotAnswered(BatchOutcome outcome, long nowMs, long pausedMs) {
    line("batch not answered")
        .with("outcome", outcome.getClass().getSimpleName())
        .with("tookMs", nowMs - sentAtMs)
        .with("pausedMs", pausedMs)
        .info(LOG);
  }

  private DecisionLine line(String decision) {
    return DecisionLine.of(decision)
        .with("service", service)
        .with("upstream", upstream.id())
        .with("dataCentre", upstream.dataCentre())
        .with("revision", revision)
        .with("requests", requestIds());
  }

  private String requestIds() {
    return pieces.stream()
        .map(piece -> piece.submission().work().requestId())
        .distinct()
        .collect(Collectors.joining(","));
  }

  private static Map<PieceResult.Cause, Long> countCauses(List<PieceResult> results) {
    return results.stream()
        .filter(PieceResult.NotProduced.class::isInstance)
        .map(result -> ((PieceResult.NotProduced) result).cause())
        .collect(Collectors.groupingBy(cause -> cause, TreeMap::new, Collectors.counting()));
  }
}
