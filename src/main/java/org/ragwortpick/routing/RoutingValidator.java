package org.ragwortpick.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Finds the faults for which a routing configuration is refused as a whole. */
public final class RoutingValidator {

  private RoutingValidator() {}

  /**
   * Checks a configuration.
   *
   * @param configuration the configuration
   * @return its faults; empty if it may be accepted
   */
  public static List<RoutingProblem> validate(RoutingConfiguration configuration) {
    List<RoutingProblem> problems = new ArrayList<>();
    Set<String> services =
        configuration.services().stream().map(ServiceProfile::name).collect(Collectors.toSet());
    Map<String, String> places = new HashMap<>();
    for (Route route : configuration.routes()) {
      checkServices(route, services, problems);
      checkValues(route, problems);
      String other = places.putIfAbsent(route.host() + route.pathPrefix(), route.name());
      if (other != null) {
        problems.add(new RoutingProblem.SamePlace(route.name(), other));
      }
    }
    checkKeys(configuration.workspaces(), problems);
    return List.copyOf(problems);
  }

  private static void checkServices(
      Route route, Set<String> services, List<RoutingProblem> problems) {
    List<String> named = new ArrayList<>();
    route.services().forEach(weighted -> named.add(weighted.service()));
    route.stages().forEach(stage -> named.add(stage.service()));
    named.stream()
        .filter(service -> !services.contains(service))
        .forEach(service -> problems.add(new RoutingProblem.UnknownService(route.name(), service)));
    boolean negative = route.services().stream().anyMatch(weighted -> weighted.weight() < 0);
    if (negative || route.services().stream().mapToInt(WeightedService::weight).sum() <= 0) {
      problems.add(new RoutingProblem.NoWeight(route.name()));
    }
  }

  private static void checkValues(Route route, List<RoutingProblem> problems) {
    if (route.timeoutMs() <= 0) {
      problems.add(
          new RoutingProblem.OutOfRange(
              route.name(), "timeoutMs", "" + route.timeoutMs(), "write at least 1"));
    }
    String prefix = route.pathPrefix();
    if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
      problems.add(
          new RoutingProblem.OutOfRange(
              route.name(), "pathPrefix", prefix, "begin and end it with a slash"));
    }
    for (int position = 0; position < route.stages().size(); position++) {
      int stage = position;
      boolean misplaced =
          route.stages().get(stage).after().stream().anyMatch(input -> input < 0 || input >= stage);
      if (misplaced) {
        problems.add(
            new RoutingProblem.OutOfRange(
                route.name(),
                "stages[" + stage + "].after",
                route.stages().get(stage).after().toString(),
                "name only stages before it"));
      }
    }
  }

  private static void checkKeys(List<RoutedWorkspace> workspaces, List<RoutingProblem> problems) {
    Map<String, String> owners = new HashMap<>();
    for (RoutedWorkspace workspace : workspaces) {
      for (String key : workspace.keys()) {
        String other = owners.putIfAbsent(key, workspace.name());
        if (other != null && !other.equals(workspace.name())) {
          problems.add(new RoutingProblem.SharedKey(workspace.name(), other));
        }
      }
    }
  }
}
