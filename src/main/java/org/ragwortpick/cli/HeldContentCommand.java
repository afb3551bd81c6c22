package org.ragwortpick.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.Map;
import org.kohsuke.args4j.Option;
import org.ragwortpick.common.Json;

/** Lists the prompt parts and requests that are held back, or releases one on all VMs. */
public final class HeldContentCommand extends AdminCommand {

  @Option(
      name = "--release",
      metaVar = "SERVICE/CONTENT",
      usage = "release this content on all VMs; without it all are listed")
  private String released = "";

  /** Creates the command. */
  public HeldContentCommand() {
    super(
        "list prompt parts and requests that end upstreams, or release one (readiness address of an"
            + " entry VM)");
  }

  @Override
  protected int call(OperatorClient client, PrintStream out, PrintStream err) {
    if (released.isEmpty()) {
      return printResponse(client.get("/held-content", Map.of()), out, err);
    }
    int slash = released.indexOf('/');
    if (slash <= 0) {
      err.println("--release needs SERVICE/CONTENT, for example generate/5c1e07a2");
      return ExitCode.USAGE;
    }
    ObjectNode body = Json.MESSAGES.createObjectNode();
    body.put("service", released.substring(0, slash));
    body.put("content", released.substring(slash + 1));
    return printResponse(client.post("/held-content/release", body.toString()), out, err);
  }
}
