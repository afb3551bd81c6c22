package org.ragwortpick.cli;

import org.kohsuke.args4j.Option;

/** Base of all sub-commands; adds the option {@code --help}. */
public abstract class AbstractCommand implements Command {

  @Option(name = "--help", aliases = "-h", help = true, usage = "show this help and exit")
  private boolean help;

  private final String description;

  /**
   * Creates the command.
   *
   * @param description one line that says what the command does
   */
  protected AbstractCommand(String description) {
    this.description = description;
  }

  @Override
  public final boolean isHelpRequested() {
    return help;
  }

  @Override
  public final String description() {
    return description;
  }
}
