package org.ragwortpick.config;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.ragwortpick.routing.RoutingConfiguration;
import org.ragwortpick.routing.RoutingTable;

/** Inventory, rules and routes at one revision, indexed by name. */
public final class Configuration {

  /** Empty configuration, in use until the first configuration is accepted. */
  public static final Configuration EMPTY = new Configuration(0, Inventory.EMPTY, Rules.EMPTY);

  private final long revision;
  private final Inventory inventory;
  private final Rules rules;
  private final Map<String, Service> services;
  private final Map<String, Pipeline> pipelines;
  private final Map<String, Workspace> workspaces;
  private final Map<String, Long> orderRevisions;
  private final Optional<RoutingConfiguration> routing;
  private final Optional<RoutingTable> routingTable;
  private final Map<String, Rollout> rollouts;

  /**
   * Creates a configuration without routes.
   *
   * @param revision revision, increasing by one with each accepted change
   * @param inventory inventory whose names are unique
   * @param rules rules
   */
  public Configuration(long revision, Inventory inventory, Rules rules) {
    this(revision, inventory, rules, Map.of(), Optional.empty());
  }

  /**
   * Creates a configuration without rollouts.
   *
   * @param revision revision, increasing by one with each accepted change
   * @param inventory inventory whose names are unique
   * @param rules rules
   * @param orderRevisions revision of the last accepted order of an operator by data centre
   * @param routing routes of transparently forwarded requests; empty if none were proposed
   */
  public Configuration(
      long revision,
      Inventory inventory,
      Rules rules,
      Map<String, Long> orderRevisions,
      Optional<RoutingConfiguration> routing) {
    this(revision, inventory, rules, orderRevisions, routing, Map.of());
  }

  /**
   * Creates a configuration.
   *
   * @param revision revision, increasing by one with each accepted change
   * @param inventory inventory whose names are unique
   * @param rules rules
   * @param orderRevisions revision of the last accepted order of an operator by data centre
   * @param routing routes of transparently forwarded requests; empty if none were proposed
   * @param rollouts last rollout by service
   */
  public Configuration(
      long revision,
      Inventory inventory,
      Rules rules,
      Map<String, Long> orderRevisions,
      Optional<RoutingConfiguration> routing,
      Map<String, Rollout> rollouts) {
    this.revision = revision;
    this.inventory = inventory;
    this.rules = rules;
    this.services = index(inventory.services(), Service::name);
    this.pipelines = index(inventory.pipelines(), Pipeline::name);
    this.workspaces = index(inventory.workspaces(), Workspace::name);
    this.orderRevisions = Map.copyOf(orderRevisions);
    this.routing = routing;
    this.routingTable = routing.map(RoutingTable::new);
    this.rollouts = Map.copyOf(rollouts);
  }

  private static <T> Map<String, T> index(List<T> values, Function<? super T, String> name) {
    return values.stream().collect(Collectors.toUnmodifiableMap(name, Function.identity()));
  }

  /**
   * Returns the revision.
   *
   * @return revision; 0 before the first change
   */
  public long revision() {
    return revision;
  }

  /**
   * Returns the inventory.
   *
   * @return the inventory
   */
  public Inventory inventory() {
    return inventory;
  }

  /**
   * Returns the rules.
   *
   * @return the rules
   */
  public Rules rules() {
    return rules;
  }

  /**
   * Returns the routes of transparently forwarded requests.
   *
   * @return the routes; empty if none were proposed
   */
  public Optional<RoutingConfiguration> routing() {
    return routing;
  }

  /**
   * Returns the routes, indexed for lookups.
   *
   * @return the table; empty if no routes were proposed
   */
  public Optional<RoutingTable> routingTable() {
    return routingTable;
  }

  /**
   * Returns the last rollout of each service.
   *
   * @return rollouts by name of the service
   */
  public Map<String, Rollout> rollouts() {
    return rollouts;
  }

  /**
   * Finds a service.
   *
   * @param name name of the service
   * @return the service, or empty if the inventory does not list it
   */
  public Optional<Service> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /**
   * Finds a pipeline.
   *
   * @param name name of the pipeline
   * @return the pipeline, or empty if the inventory does not list it
   */
  public Optional<Pipeline> pipeline(String name) {
    return Optional.ofNullable(pipelines.get(name));
  }

  /**
   * Finds a workspace.
   *
   * @param name name of the workspace
   * @return the workspace, or empty if the inventory does not list it
   */
  public Optional<Workspace> workspace(String name) {
    return Optional.ofNullable(workspaces.get(name));
  }

  /**
   * Returns the state of a data centre.
   *
   * @param dataCentre name of the data centre
   * @return its state; {@code IN} if the rules do not list it
   */
  public DataCentreState stateOf(String dataCentre) {
    return rules.dataCentres().getOrDefault(dataCentre, DataCentreState.IN);
  }

  /**
   * Returns the revisions of the last accepted orders that take data centres out or return them,
   * orders without effect included.
   *
   * @return revisions by name of the data centre
   */
  public Map<String, Long> orderRevisions() {
    return orderRevisions;
  }

  /**
   * Returns whether a data centre may receive new work.
   *
   * @param dataCentre name of the data centre
   * @return false if operators have taken it out
   */
  public boolean takesWork(String dataCentre) {
    return stateOf(dataCentre) != DataCentreState.OUT;
  }

  /**
   * Returns whether the calls of a service must not be repeated.
   *
   * @param service name of the service
   * @return true if the service is non-idempotent
   */
  public boolean isNonIdempotent(String service) {
    return rules.neverTwice().contains(service);
  }
}
