package org.ragwortpick.cli;

import java.io.PrintStream;

/** Stops one VM gracefully. */
public final class StopCommand extends AdminCommand {

  /** Creates the command. */
  public StopCommand() {
    super("stop the VM gracefully: it finishes its requests and then ends");
  }

  @Override
  protected int call(OperatorClient client, PrintStream out, PrintStream err) {
    return report(client.post("/admin/v1/vm/stop", "{}"), out, err);
  }
}
