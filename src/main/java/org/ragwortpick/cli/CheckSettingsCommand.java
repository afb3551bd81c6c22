package org.ragwortpick.cli;

import java.io.PrintStream;
import org.ragwortpick.settings.Settings;

/** Validates a settings file without starting the VM. */
public final class CheckSettingsCommand extends SettingsCommand {

  /** Creates the command. */
  public CheckSettingsCommand() {
    super("check a settings file and report every fault in it");
  }

  @Override
  protected int run(Settings settings, PrintStream out, PrintStream err) {
    out.println("settings of VM " + settings.vm() + " are valid");
    return ExitCode.OK;
  }
}
