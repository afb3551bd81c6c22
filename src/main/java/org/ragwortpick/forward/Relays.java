package org.ragwortpick.forward;

import java.time.Clock;
import java.util.HashMap;
import java.util.Map;
import org.ragwortpick.entry.upstream.HttpCallClient;

/**
 * Way through other VMs for requests whose upstreams the local VM cannot reach. Confined to the I/O
 * thread.
 */
public final class Relays {

  /**
   * Time for which no request of a service is relayed after no VM took one. The service is then
   * likely to be down, and a detour would only add load.
   */
  private static final long FUTILE_MS = 500;

  private final UpstreamPaths paths;
  private final RelayPeers peers;
  private final HttpCallClient callClient;
  private final Clock clock;
  private final Map<String, Long> futileUntilMs = new HashMap<>();

  /**
   * Creates an instance.
   *
   * @param paths which services the local VM reaches
   * @param peers chooses the VM to which a request is sent
   * @param callClient sends requests to other VMs
   * @param clock monotonic clock
   */
  public Relays(UpstreamPaths paths, RelayPeers peers, HttpCallClient callClient, Clock clock) {
    this.paths = paths;
    this.peers = peers;
    this.callClient = callClient;
    this.clock = clock;
  }

  /**
   * Returns which services the local VM reaches.
   *
   * @return the paths
   */
  UpstreamPaths paths() {
    return paths;
  }

  /**
   * Returns the chooser of the VM to which a request is sent.
   *
   * @return the chooser
   */
  RelayPeers peers() {
    return peers;
  }

  /**
   * Returns the client that sends requests to other VMs.
   *
   * @return the client
   */
  HttpCallClient callClient() {
    return callClient;
  }

  /**
   * Returns whether other VMs may reach a service that the local VM does not.
   *
   * @param service name of the service
   * @return false shortly after no VM took a request of it
   */
  boolean mayHelp(String service) {
    return clock.millis() >= futileUntilMs.getOrDefault(service, Long.MIN_VALUE);
  }

  /**
   * Records that no other VM took a request.
   *
   * @param service service of the request
   */
  void recordFutile(String service) {
    futileUntilMs.put(service, clock.millis() + FUTILE_MS);
  }
}
