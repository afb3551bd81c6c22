package org.ragwortpick.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.security.SecureRandom;
import java.util.List;
import java.util.Set;
import org.ragwortpick.consensus.DataFolder;
import org.ragwortpick.peer.PeerChannels;
import org.ragwortpick.settings.Settings;
import org.ragwortpick.vm.ControlBootstrap;

/** Formats the data folder of the first control VM of a new deployment. */
public final class BootstrapCommand extends SettingsCommand {

  /** Creates the command. */
  public BootstrapCommand() {
    super("format the data folder of one control VM, once per new deployment");
  }

  @Override
  protected int run(Settings settings, PrintStream out, PrintStream err) {
    if (!settings.isControl()) {
      err.println("VM " + settings.vm() + " has no control role; bootstrap a control VM");
      return ExitCode.REFUSED;
    }
    try (PeerChannels channels = new PeerChannels()) {
      List<String> unreachable =
          DataFolder.bootstrap(
              ControlBootstrap.options(settings),
              Set.copyOf(ControlBootstrap.groupNames(settings)),
              channels,
              new SecureRandom());
      unreachable.forEach(
          vm ->
              out.println(
                  "control VM "
                      + vm
                      + " is unreachable; not checked whether it belongs to a formatted cluster"));
      out.println("data folder of VM " + settings.vm() + " is formatted");
      return ExitCode.OK;
    } catch (IOException e) {
      err.println(e.getMessage());
      return ExitCode.REFUSED;
    }
  }
}
