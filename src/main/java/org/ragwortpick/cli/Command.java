package org.ragwortpick.cli;

import java.io.PrintStream;

/** Sub-command of the program. */
public interface Command {

  /**
   * Runs the command.
   *
   * @param out stream for results
   * @param err stream for error messages
   * @return exit code, see {@link ExitCode}
   */
  int run(PrintStream out, PrintStream err);

  /**
   * Tells whether only the help text was asked for.
   *
   * @return true if {@code --help} was given
   */
  boolean isHelpRequested();

  /**
   * One line that says what the command does.
   *
   * @return the description
   */
  String description();
}
