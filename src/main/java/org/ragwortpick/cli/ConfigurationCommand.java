package org.ragwortpick.cli;

import java.io.PrintStream;
import java.util.Map;

/** Shows the inventory and the rules in force, with their revision. */
public final class ConfigurationCommand extends AdminCommand {

  /** Creates the command. */
  public ConfigurationCommand() {
    super("show the inventory and the rules with their revision");
  }

  @Override
  protected int call(OperatorClient client, PrintStream out, PrintStream err) {
    return printResponse(client.get("/admin/v1/configuration", Map.of()), out, err);
  }
}
