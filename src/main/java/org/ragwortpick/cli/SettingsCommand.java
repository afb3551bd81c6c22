package org.ragwortpick.cli;

import io.vavr.control.Either;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import org.kohsuke.args4j.Option;
import org.ragwortpick.settings.Settings;
import org.ragwortpick.settings.SettingsError;
import org.ragwortpick.settings.SettingsReader;

/** Base of the commands that read a settings file. */
abstract class SettingsCommand extends AbstractCommand {

  @Option(
      name = "--settings",
      required = true,
      metaVar = "FILE",
      usage = "settings of the process, JSON with comments")
  private Path file;

  /**
   * Creates the command.
   *
   * @param description one line that says what the command does
   */
  protected SettingsCommand(String description) {
    super(description);
  }

  @Override
  public final int run(PrintStream out, PrintStream err) {
    Either<List<SettingsError>, Settings> settings = SettingsReader.read(file);
    if (settings.isLeft()) {
      settings.getLeft().forEach(error -> err.println(error.message()));
      return ExitCode.INVALID_FILE;
    }
    return run(settings.get(), out, err);
  }

  /**
   * Runs the command with valid settings.
   *
   * @param settings the settings
   * @param out stream for results
   * @param err stream for error messages
   * @return exit code
   */
  protected abstract int run(Settings settings, PrintStream out, PrintStream err);
}
