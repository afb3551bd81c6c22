package org.ragwortpick.cli;

import java.io.PrintStream;
import java.util.Map;

/** Shows the state of the system as one VM knows it. */
public final class StateCommand extends AdminCommand {

  /** Creates the command. */
  public StateCommand() {
    super("show VMs, upstreams, data centres and consensus as one VM knows them");
  }

  @Override
  protected int call(OperatorClient client, PrintStream out, PrintStream err) {
    return report(client.get("/admin/v1/state", Map.of()), out, err);
  }
}
