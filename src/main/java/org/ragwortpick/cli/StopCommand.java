package org.ragwortpick.cli;

import java.io.PrintStream;

/** Stops one VM gracefully. */
public final class StopCommand extends AdminCommand {

  /** Creates the command. */
  public StopCommand() {
    super("stop the VM gracefully, after its requests have ended");
  }

  @Override
  protected int call(OperatorClient client, PrintStream out, PrintStream err) {
    return printResponse(client.post("/admin/v1/vm/stop", "{}"), out, err);
  }
}
