package org.ragwortpick.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.ParserProperties;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;
import org.ragwortpick.logging.LoggingSetup;
import org.ragwortpick.peer.TransportStart;

/** Entry point of the program. */
public final class Main {

  private static final int USAGE_WIDTH = 100;

  /** Arguments of a deployed process, apart from the settings file. */
  private static final List<String> DEPLOYED_COMMAND = List.of("forward", "--settings");

  @Option(name = "--help", aliases = "-h", help = true, usage = "show this help and exit")
  private boolean help;

  @Argument(
      handler = SubCommandHandler.class,
      required = true,
      metaVar = "COMMAND",
      usage = "command to run")
  @SubCommands({
    @SubCommand(name = "run", impl = RunCommand.class),
    @SubCommand(name = "forward", impl = ForwardCommand.class),
    @SubCommand(name = "bootstrap", impl = BootstrapCommand.class),
    @SubCommand(name = "check-settings", impl = CheckSettingsCommand.class),
    @SubCommand(name = "state", impl = StateCommand.class),
    @SubCommand(name = "configuration", impl = ConfigurationCommand.class),
    @SubCommand(name = "propose", impl = ProposeCommand.class),
    @SubCommand(name = "take-out", impl = TakeOutCommand.class),
    @SubCommand(name = "return", impl = ReturnCommand.class),
    @SubCommand(name = "stop", impl = StopCommand.class),
    @SubCommand(name = "held-content", impl = HeldContentCommand.class),
    // The name that operators knew before whole requests were held too.
    @SubCommand(name = "held-parts", impl = HeldContentCommand.class),
    @SubCommand(name = "call-status", impl = CallStatusCommand.class),
    @SubCommand(name = "await", impl = AwaitCommand.class),
    @SubCommand(name = "demonstrate", impl = DemonstrateCommand.class),
    @SubCommand(name = "load", impl = LoadCommand.class),
    @SubCommand(name = "stand-in", impl = StandInCommand.class),
  })
  private Command command;

  private Main() {}

  /**
   * Runs the sub-command named by the first argument and ends the process with its exit code.
   *
   * @param args command line
   */
  public static void main(String[] args) {
    LoggingSetup.selectLogManager();
    TransportStart.prepare();
    System.exit(run(args, System.out, System.err));
  }

  /**
   * Runs the sub-command named by the first argument.
   *
   * @param args command line
   * @param out stream for results
   * @param err stream for error messages
   * @return exit code, see {@link ExitCode}
   */
  static int run(String[] args, PrintStream out, PrintStream err) {
    if (args.length == 0) {
      CommandList.print(err);
      return ExitCode.USAGE;
    }
    if (isDeployedCommand(args)) {
      // The parser reads the annotations of all sub-commands by reflection, which delays the start.
      return new ForwardCommand(Path.of(args[args.length - 1])).run(out, err);
    }
    Main main = new Main();
    CmdLineParser parser = parser(main);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      err.println(e.getMessage());
      err.println(CliMessages.usageHint());
      return ExitCode.USAGE;
    }
    if (main.help || main.command == null) {
      CommandList.print(out);
      return ExitCode.OK;
    }
    if (main.command.isHelpRequested()) {
      out.println(main.command.description());
      parser(main.command).printUsage(out);
      return ExitCode.OK;
    }
    return main.command.run(out, err);
  }

  private static boolean isDeployedCommand(String[] args) {
    int last = args.length - 1;
    return last == DEPLOYED_COMMAND.size()
        && List.of(args).subList(0, last).equals(DEPLOYED_COMMAND)
        && !args[last].startsWith("-");
  }

  private static CmdLineParser parser(Object bean) {
    return new CmdLineParser(
        bean, ParserProperties.defaults().withUsageWidth(USAGE_WIDTH).withShowDefaults(false));
  }
}
