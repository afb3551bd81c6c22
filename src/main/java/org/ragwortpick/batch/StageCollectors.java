package org.ragwortpick.batch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import org.ragwortpick.policy.admission.StageBacklog;

/** Registry of the local VM's collectors, created on first use. Confined to one thread. */
public final class StageCollectors {

  private final Function<String, StageCollector> newCollector;
  private final Map<String, StageCollector> collectors = new HashMap<>();

  /**
   * Creates the registry.
   *
   * @param newCollector creates the collector of a service
   */
  public StageCollectors(Function<String, StageCollector> newCollector) {
    this.newCollector = newCollector;
  }

  /**
   * Submits the pieces of a stage to the collector of their service.
   *
   * @param work the pieces
   * @param viewAgeMs age of the sender's view of the upstreams in milliseconds
   * @param whenEnded receives the outcome exactly once, unless the work is cancelled
   * @return cancels the work
   */
  public Runnable submit(StageWork work, long viewAgeMs, Consumer<SubmissionEnd> whenEnded) {
    return collectors
        .computeIfAbsent(work.service(), newCollector)
        .submit(work, viewAgeMs, whenEnded);
  }

  /**
   * Returns the expected wait of a new piece in the queue of a service.
   *
   * @param service name of the service
   * @param priority priority of the request, 0 is the most urgent
   * @return time in milliseconds; 0 if the service has no collector here
   */
  public long expectedWaitMs(String service, int priority) {
    StageCollector collector = collectors.get(service);
    return collector == null ? 0 : collector.expectedWaitMs(priority);
  }

  /**
   * Lists the backlogs of the collectors.
   *
   * @return one backlog for each collector whose capacity is known
   */
  List<StageBacklog> backlogs() {
    return collectors.values().stream().flatMap(collector -> collector.backlog().stream()).toList();
  }

  /**
   * Releases results.
   *
   * @param service service that produced them
   * @param handles handles of the results, including those collected by other VMs
   */
  public void release(String service, List<String> handles) {
    collectors.computeIfAbsent(service, newCollector).release(handles);
  }
}
