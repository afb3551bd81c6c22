package org.ragwortpick.cli;

import java.io.IOException;
import java.io.PrintStream;
import org.ragwortpick.logging.LoggingSetup;
import org.ragwortpick.settings.Settings;
import org.ragwortpick.vm.VmProcess;

/** Runs one VM until it is stopped by an operator or a signal. */
public final class RunCommand extends SettingsCommand {

  /** Creates the command. */
  public RunCommand() {
    super("run the VM that a settings file describes");
  }

  @Override
  protected int run(Settings settings, PrintStream out, PrintStream err) {
    LoggingSetup.configure(settings.logLevel(), settings.vm());
    UncaughtErrors.install();
    VmProcess process;
    try {
      process = new VmProcess(settings);
      process.start();
    } catch (IOException | RuntimeException e) {
      err.println(CliMessages.startFailed(String.valueOf(e.getMessage())));
      return ExitCode.INTERNAL;
    }
    return ProcessShutdown.await(process);
  }
}
