package org.ragwortpick.routing;

/** Error in a routing configuration. Each message states the remedy. */
public sealed interface RoutingProblem {

  /**
   * Returns the text for operators.
   *
   * @return error and remedy
   */
  String message();

  /**
   * A route or one of its stages refers to a service without a profile.
   *
   * @param route name of the route
   * @param service name of the service
   */
  record UnknownService(String route, String service) implements RoutingProblem {
    @Override
    public String message() {
      return "route " + route + " refers to service " + service + ", which is not listed; list it";
    }
  }

  /**
   * Two routes have the same host and path prefix.
   *
   * @param route name of the second route
   * @param firstRoute name of the first route
   */
  record DuplicateRoute(String route, String firstRoute) implements RoutingProblem {
    @Override
    public String message() {
      return "routes "
          + firstRoute
          + " and "
          + route
          + " have the same host and path prefix; change one of them";
    }
  }

  /**
   * A weight of a route is negative or all its weights are 0.
   *
   * @param route name of the route
   */
  record InvalidWeights(String route) implements RoutingProblem {
    @Override
    public String message() {
      return "route "
          + route
          + " has a negative weight or only weights of 0;"
          + " use no negative weight and at least one weight above 0";
    }
  }

  /**
   * A value of a route is invalid.
   *
   * @param route name of the route
   * @param key key of the value
   * @param value the value
   * @param remedy what to write instead
   */
  record OutOfRange(String route, String key, String value, String remedy)
      implements RoutingProblem {
    @Override
    public String message() {
      return "route " + route + ": " + key + " is " + value + "; " + remedy;
    }
  }

  /**
   * Two workspaces share a key.
   *
   * @param workspace name of the second workspace
   * @param firstWorkspace name of the first workspace
   */
  record SharedKey(String workspace, String firstWorkspace) implements RoutingProblem {
    @Override
    public String message() {
      return "workspaces "
          + firstWorkspace
          + " and "
          + workspace
          + " share a key; give each workspace its own keys";
    }
  }
}
