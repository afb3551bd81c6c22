package org.ragwortpick.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Finds the errors for which a routing configuration is rejected as a whole. */
public final class RoutingValidator {

  private RoutingValidator() {}

  /**
   * Checks a configuration.
   *
   * @param configuration the configuration
   * @return its errors; empty if it may be accepted
   */
  public static List<RoutingProblem> validate(RoutingConfiguration configuration) {
    List<RoutingProblem> problems = new ArrayList<>();
    Set<String> services =
        configuration.services().stream().map(ServiceProfile::name).collect(Collectors.toSet());
    Map<String, String> routesByHostAndPrefix = new HashMap<>();
    for (Route route : configuration.routes()) {
      checkServices(route, services, problems);
      checkValues(route, problems);
      String firstRoute =
          routesByHostAndPrefix.putIfAbsent(
              HostNames.withoutPort(route.host()) + route.pathPrefix(), route.name());
      if (firstRoute != null) {
        problems.add(new RoutingProblem.DuplicateRoute(route.name(), firstRoute));
      }
    }
    checkKeys(configuration.workspaces(), problems);
    return List.copyOf(problems);
  }

  private static void checkServices(
      Route route, Set<String> services, List<RoutingProblem> problems) {
    List<String> referenced = new ArrayList<>();
    route.services().forEach(weighted -> referenced.add(weighted.service()));
    route.stages().forEach(stage -> referenced.add(stage.service()));
    referenced.stream()
        .filter(service -> !services.contains(service))
        .forEach(service -> problems.add(new RoutingProblem.UnknownService(route.name(), service)));
    boolean negative = route.services().stream().anyMatch(weighted -> weighted.weight() < 0);
    if (negative || route.services().stream().mapToLong(WeightedService::weight).sum() <= 0) {
      problems.add(new RoutingProblem.InvalidWeights(route.name()));
    }
  }

  private static void checkValues(Route route, List<RoutingProblem> problems) {
    if (route.timeoutMs() <= 0) {
      problems.add(
          new RoutingProblem.OutOfRange(
              route.name(), "timeoutMs", "" + route.timeoutMs(), "use at least 1"));
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
                "refer only to earlier stages"));
      }
    }
  }

  private static void checkKeys(List<RoutedWorkspace> workspaces, List<RoutingProblem> problems) {
    Map<String, RoutedWorkspace> workspacesByKey = new HashMap<>();
    for (RoutedWorkspace workspace : workspaces) {
      for (String key : workspace.keys()) {
        RoutedWorkspace first = workspacesByKey.putIfAbsent(key, workspace);
        // Compared by identity: two workspaces of one name and the same keys are equal records.
        if (first != null && first != workspace) {
          problems.add(new RoutingProblem.SharedKey(workspace.name(), first.name()));
        }
      }
    }
  }
}
