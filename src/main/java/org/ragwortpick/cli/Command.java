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
   * Tells whether only the help text was requested.
   *
   * @return true if {@code --help} was given
   */
  boolean isHelpRequested();

  /**
   * Returns the one-line summary that the help shows.
   *
   * @return the description
   */
  String description();
}
