package org.ragwortpick.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.time.Clock;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import org.kohsuke.args4j.Option;
import org.ragwortpick.common.Json;
import org.ragwortpick.common.MonotonicClock;

/** Polls a VM until it reports the required ready VMs, warm upstreams and voters. */
public final class AwaitCommand extends AdminCommand {

  private static final long POLL_INTERVAL_NANOS = 200_000_000;

  @Option(name = "--vms", metaVar = "N", usage = "number of VMs that must be ready")
  private int requiredVms = 1;

  @Option(name = "--upstreams", metaVar = "N", usage = "number of upstreams that must be warm")
  private int requiredUpstreams;

  @Option(name = "--voters", metaVar = "N", usage = "number of voters that each group must have")
  private int requiredVoters;

  @Option(name = "--seconds", metaVar = "N", usage = "timeout in seconds; 60 if absent")
  private int timeoutSeconds = 60;

  /** Creates the command. */
  public AwaitCommand() {
    super("wait until a VM reports the required ready VMs, warm upstreams and voters");
  }

  @Override
  protected int call(OperatorClient client, PrintStream out, PrintStream err) {
    Clock clock = new MonotonicClock();
    long timeoutAtMs = clock.millis() + timeoutSeconds * 1_000L;
    Optional<OperatorResponse> response = Optional.empty();
    while (clock.millis() < timeoutAtMs) {
      response = client.get("/admin/v1/state", Map.of());
      if (response.filter(this::meetsRequirements).isPresent()) {
        return ExitCode.OK;
      }
      LockSupport.parkNanos(POLL_INTERVAL_NANOS);
    }
    printResponse(response, err, err);
    err.println(
        "the required VMs, upstreams and voters were not ready within "
            + timeoutSeconds
            + " s, see the last state above; check the logs of the missing processes");
    return ExitCode.REFUSED;
  }

  private boolean meetsRequirements(OperatorResponse response) {
    try {
      JsonNode state = Json.MESSAGES.readTree(response.body());
      boolean enoughVoters = true;
      for (JsonNode group : state.path("consensusGroups")) {
        enoughVoters &= group.path("voters").size() >= requiredVoters;
      }
      return countReady(state.path("vms")) >= requiredVms
          && countReady(state.path("upstreams")) >= requiredUpstreams
          && enoughVoters;
    } catch (JsonProcessingException e) {
      return false;
    }
  }

  private static long countReady(JsonNode entries) {
    long ready = 0;
    for (JsonNode entry : entries) {
      ready += entry.path("state").asText().equals("READY") ? 1 : 0;
    }
    return ready;
  }
}
