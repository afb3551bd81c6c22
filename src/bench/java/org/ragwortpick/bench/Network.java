package org.ragwortpick.bench;

import java.util.HashMap;
import java.util.Map;

/** Upstreams by id, the latency to them, and the data centres that operators took out. */
final class Network {

  private static final double LOCAL_LATENCY_MS = 0.2;
  private static final double TAKE_OUT_BOUND_MS = 5_000;

  private final EventQueue queue;
  private final double crossDataCentreLatencyMs;
  private final Map<String, UpstreamModel> upstreams = new HashMap<>();
  private final Map<String, Double> takenOutAtMs = new HashMap<>();

  /**
   * Creates a network without upstreams.
   *
   * @param queue event queue
   * @param crossDataCentreLatencyMs one-way latency between data centres in milliseconds
   */
  Network(EventQueue queue, double crossDataCentreLatencyMs) {
    this.queue = queue;
    this.crossDataCentreLatencyMs = crossDataCentreLatencyMs;
  }

  /**
   * Adds an upstream.
   *
   * @param upstream the upstream
   */
  void add(UpstreamModel upstream) {
    upstreams.put(upstream.id(), upstream);
  }

  /**
   * Returns an upstream by its id.
   *
   * @param id id of the upstream
   * @return the upstream
   */
  UpstreamModel upstream(String id) {
    return upstreams.get(id);
  }

  /**
   * Returns the latency between two data centres.
   *
   * @param from data centre of the sender
   * @param to data centre of the receiver
   * @return one-way latency in milliseconds
   */
  double latencyMs(String from, String to) {
    return from.equals(to) ? LOCAL_LATENCY_MS : LOCAL_LATENCY_MS + crossDataCentreLatencyMs;
  }

  /**
   * Records that operators took a data centre out of service.
   *
   * @param dataCentre the data centre
   */
  void recordTakeOut(String dataCentre) {
    takenOutAtMs.put(dataCentre, queue.sinceStartMs());
  }

  /**
   * Records that operators return a data centre to service.
   *
   * @param dataCentre the data centre
   */
  void recordReturn(String dataCentre) {
    takenOutAtMs.remove(dataCentre);
  }

  /**
   * Tells whether no more work may be sent to a data centre that was taken out.
   *
   * @param dataCentre data centre of the upstream
   * @return true if the data centre was taken out and the bound has passed since
   */
  boolean isPastTakeOutBound(String dataCentre) {
    Double takenOutMs = takenOutAtMs.get(dataCentre);
    return takenOutMs != null && queue.sinceStartMs() > takenOutMs + TAKE_OUT_BOUND_MS;
  }
}
