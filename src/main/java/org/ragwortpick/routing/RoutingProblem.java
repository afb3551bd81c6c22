package org.ragwortpick.routing;

/** Fault of a routing configuration. Each message names the remedy. */
public sealed interface RoutingProblem {

  /**
   * Returns the text for operators.
   *
   * @return fault and remedy
   */
  String message();

  /**
   * A route or one of its stages names a service that is not listed.
   *
   * @param route name of the route
   * @param service name of the service
   */
  record UnknownService(String route, String service) implements RoutingProblem {
    @Override
    public String message() {
      return "route " + route + " names service " + service + ", which is not listed; list it";
    }
  }

  /**
   * Two routes share host and prefix.
   *
   * @param route name of the second route
   * @param other name of the first route
   */
  record SamePlace(String route, String other) implements RoutingProblem {
    @Override
    public String message() {
      return "routes " + other + " and " + route + " share host and path prefix; change one";
    }
  }

  /**
   * The weights of a route add up to nothing.
   *
   * @param route name of the route
   */
  record NoWeight(String route) implements RoutingProblem {
    @Override
    public String message() {
      return "the weights of route " + route + " add up to 0; give one service a weight above 0";
    }
  }

  /**
   * A value of a route is out of range.
   *
   * @param route name of the route
   * @param key name of the value
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
   * @param other name of the first workspace
   */
  record SharedKey(String workspace, String other) implements RoutingProblem {
    @Override
    public String message() {
      return "workspaces " + other + " and " + workspace + " share a key; give each its own";
    }
  }
}
