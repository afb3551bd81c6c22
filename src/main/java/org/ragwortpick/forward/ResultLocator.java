package org.ragwortpick.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.ragwortpick.sync.Upstream;

/** Determines the data centre that holds the results of stages. */
public final class ResultLocator {

  private final Function<String, List<Upstream>> upstreamsOf;

  /**
   * Creates the locator.
   *
   * @param upstreamsOf returns the upstreams of a service
   */
  public ResultLocator(Function<String, List<Upstream>> upstreamsOf) {
    this.upstreamsOf = upstreamsOf;
  }

  /**
   * Returns the data centre that holds the most bytes of a set of results.
   *
   * @param bytesByService size of one result of each service in bytes; 1 for services not listed
   * @param handlesByService handles of the results by service; a handle begins with the address of
   *     the upstream that holds it
   * @return name of the data centre; empty if no upstream of the results is known
   */
  String dataCentreWithMostBytes(
      Map<String, Long> bytesByService, Map<String, List<String>> handlesByService) {
    Map<String, Long> bytes = new HashMap<>();
    handlesByService.forEach(
        (service, handles) -> {
          List<Upstream> upstreams = upstreamsOf.apply(service);
          for (String handle : handles) {
            upstreams.stream()
                .filter(upstream -> handle.startsWith(upstream.address() + "/"))
                .findFirst()
                .ifPresent(
                    upstream ->
                        bytes.merge(
                            upstream.dataCentre(),
                            bytesByService.getOrDefault(service, 1L),
                            Long::sum));
          }
        });
    return bytes.entrySet().stream()
        .max(Map.Entry.comparingByValue())
        .map(Map.Entry::getKey)
        .orElse("");
  }
}
