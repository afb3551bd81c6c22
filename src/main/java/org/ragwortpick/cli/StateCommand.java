package org.ragwortpick.cli;

import java.io.PrintStream;
import java.util.Map;

/** Shows the state of the system as seen by one VM. */
public final class StateCommand extends AdminCommand {

  /** Creates the command. */
  public StateCommand() {
    super("show VMs, upstreams, data centres and consensus as seen by one VM");
  }

  @Override
  protected int call(OperatorClient client, PrintStream out, PrintStream err) {
    return printResponse(client.get("/admin/v1/state", Map.of()), out, err);
  }
}
