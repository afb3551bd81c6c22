package org.ragwortpick.control;

import java.util.List;
import java.util.Set;
import org.ragwortpick.config.Placement;
import org.ragwortpick.sync.Upstream;

/**
 * Model, version and adapters that an upstream of a service runs or must run.
 *
 * @param service name of the service
 * @param model model name; empty for a plain service
 * @param version model version; empty if any version is accepted
 * @param adapters adapters in alphabetical order
 */
record ModelVariant(String service, String model, String version, List<String> adapters) {

  /**
   * Returns the variant that a placement requires.
   *
   * @param service name of the service
   * @param placement the placement
   * @return the variant
   */
  static ModelVariant of(String service, Placement placement) {
    return new ModelVariant(
        service,
        placement.model(),
        placement.version(),
        placement.adapters().stream().sorted().toList());
  }

  /**
   * Tells whether an upstream has loaded the model version, regardless of its adapters.
   *
   * @param upstream the upstream
   * @return true if no other model needs to be loaded
   */
  boolean hasModel(Upstream upstream) {
    return upstream.model().equals(model)
        && (version.isEmpty() || upstream.version().equals(version));
  }

  /**
   * Lists the adapters that an upstream lacks.
   *
   * @param upstream the upstream
   * @return the missing adapters
   */
  List<String> missingAdapters(Upstream upstream) {
    Set<String> loaded = Set.copyOf(upstream.adapters());
    return adapters.stream().filter(adapter -> !loaded.contains(adapter)).toList();
  }

  /**
   * Tells whether an order can make an upstream run this variant.
   *
   * @return false for a plain service, which has no model
   */
  boolean canBeLoaded() {
    return !model.isEmpty();
  }

  /**
   * Describes the variant for operators.
   *
   * @return the text
   */
  String describe() {
    return "service "
        + service
        + (model.isEmpty() ? "" : " model " + model)
        + (version.isEmpty() ? "" : " version " + version)
        + (adapters.isEmpty() ? "" : " adapters " + adapters);
  }
}
