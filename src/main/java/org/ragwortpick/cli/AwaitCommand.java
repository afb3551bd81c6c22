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

/** Waits until a VM knows enough ready VMs and warm upstreams. */
public final class AwaitCommand extends AdminCommand {

  private static final long POLL_NANOS = 200_000_000;

  @Option(name = "--vms", metaVar = "N", usage = "number of VMs that must be ready")
  private int vms = 1;

  @Option(name = "--upstreams", metaVar = "N", usage = "number of upstreams that must be warm")
  private int upstreams;

  @Option(name = "--voters", metaVar = "N", usage = "number of voters that each group must have")
  private int voters;

  @Option(name = "--seconds", metaVar = "N", usage = "longest wait in seconds; 60 if absent")
  private int seconds = 60;

  /** Creates the command. */
  public AwaitCommand() {
    super("wait until a VM knows enough ready VMs, warm upstreams and voters");
  }

  @Override
  protected int call(OperatorClient client, PrintStream out, PrintStream err) {
    Clock clock = new MonotonicClock();
    long endMs = clock.millis() + seconds * 1_000L;
    Optional<OperatorResponse> response = Optional.empty();
    while (clock.millis() < endMs) {
      response = client.get("/admin/v1/state", Map.of());
      if (response.filter(this::isEnough).isPresent()) {
        return ExitCode.OK;
      }
      LockSupport.parkNanos(POLL_NANOS);
    }
    report(response, err, err);
    err.println(
        "the state above lacks what was waited for; check the logs of the missing processes");
    return ExitCode.REFUSED;
  }

  private boolean isEnough(OperatorResponse response) {
    try {
      JsonNode state = Json.MESSAGES.readTree(response.body());
      boolean complete = true;
      for (JsonNode group : state.path("consensusGroups")) {
        complete &= group.path("voters").size() >= voters;
      }
      return ready(state.path("vms")) >= vms
          && ready(state.path("upstreams")) >= upstreams
          && complete;
    } catch (JsonProcessingException e) {
      return false;
    }
  }

  private static long ready(JsonNode list) {
    long ready = 0;
    for (JsonNode entry : list) {
      ready += entry.path("state").asText().equals("READY") ? 1 : 0;
    }
    return ready;
  }
}
