package org.ragwortpick.cli;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.ServiceLoader;
import org.kohsuke.args4j.Option;
import org.ragwortpick.edge.EdgeProtocol;
import org.ragwortpick.logging.LoggingSetup;
import org.ragwortpick.settings.ForwardingSettings;
import org.ragwortpick.settings.ForwardingSettingsReader;
import org.ragwortpick.settings.SettingsError;
import org.ragwortpick.vm.ForwardingProcess;
import org.ragwortpick.vm.NoManagementServer;

/** Runs one process of a deployment that forwards requests. */
public final class ForwardCommand extends AbstractCommand {

  @Option(
      name = "--settings",
      required = true,
      metaVar = "FILE",
      usage = "settings of the process, JSON with comments")
  private Path file;

  @Option(name = "--check", usage = "check the settings and exit")
  private boolean checkOnly;

  /** Creates the command for the command line parser. */
  public ForwardCommand() {
    super("run a process of a deployment that forwards requests");
  }

  /**
   * Creates the command for a command line that consists of a settings file only.
   *
   * @param file settings of the process
   */
  ForwardCommand(Path file) {
    this();
    this.file = file;
  }

  @Override
  public int run(PrintStream out, PrintStream err) {
    Either<List<SettingsError>, ForwardingSettings> read =
        ForwardingSettingsReader.read(file, System.getenv());
    if (read.isLeft()) {
      read.getLeft().forEach(error -> err.println(error.message()));
      return ExitCode.INVALID_FILE;
    }
    ForwardingSettings settings = read.get();
    Optional<EdgeProtocol> protocol = findProtocol(settings.protocol());
    if (protocol.isEmpty()) {
      err.println(CliMessages.unknownProtocol(settings.protocol(), protocolNames()));
      return ExitCode.INVALID_FILE;
    }
    if (checkOnly) {
      out.println(CliMessages.settingsValid(file));
      return ExitCode.OK;
    }
    LoggingSetup.configure(settings.logLevel(), settings.peerAddress().toString());
    UncaughtErrors.install();
    NoManagementServer.select();
    ForwardingProcess process;
    try {
      process = new ForwardingProcess(settings, protocol.get());
      process.start();
    } catch (IOException | RuntimeException e) {
      err.println(CliMessages.startFailed(String.valueOf(e.getMessage())));
      return ExitCode.INTERNAL;
    }
    try (SettingsReload reload = new SettingsReload(file, process::reload)) {
      reload.start();
      return ProcessShutdown.await(process, LoggingSetup::close);
    }
  }

  private static Optional<EdgeProtocol> findProtocol(String name) {
    return ServiceLoader.load(EdgeProtocol.class).stream()
        .map(ServiceLoader.Provider::get)
        .filter(protocol -> protocol.name().equals(name))
        .findFirst();
  }

  private static List<String> protocolNames() {
    return ServiceLoader.load(EdgeProtocol.class).stream()
        .map(provider -> provider.get().name())
        .toList();
  }
}
