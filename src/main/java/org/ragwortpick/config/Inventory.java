package org.ragwortpick.config;

import java.util.List;

/**
 * Services, placements, pipelines and workspaces of a region, taken from the asset register of the
 * operators.
 *
 * @param region name of the region
 * @param dataCentres names of the data centres
 * @param services services with their placements
 * @param pipelines pipelines offered to callers
 * @param workspaces workspaces that may send requests
 */
public record Inventory(
    String region,
    List<String> dataCentres,
    List<Service> services,
    List<Pipeline> pipelines,
    List<Workspace> workspaces) {

  /** Empty inventory, in use until the first configuration is accepted. */
  public static final Inventory EMPTY =
      new Inventory("", List.of(), List.of(), List.of(), List.of());

  /** Replaces absent lists by empty ones. */
  public Inventory {
    dataCentres = dataCentres == null ? List.of() : List.copyOf(dataCentres);
    services = services == null ? List.of() : List.copyOf(services);
    pipelines = pipelines == null ? List.of() : List.copyOf(pipelines);
    workspaces = workspaces == null ? List.of() : List.copyOf(workspaces);
  }
}
