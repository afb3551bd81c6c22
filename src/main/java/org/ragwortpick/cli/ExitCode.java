package org.ragwortpick.cli;

/** Exit codes of the program. */
public final class ExitCode {

  /** The command succeeded. */
  public static final int OK = 0;

  /** The system refused the request or reported a failure. */
  public static final int REFUSED = 1;

  /** The command line is invalid. */
  public static final int USAGE = 2;

  /** A settings, inventory, rules or stand-in file is invalid. */
  public static final int INVALID_FILE = 3;

  /** No response was received from the given address. */
  public static final int UNREACHABLE = 4;

  /** The process failed to start or stopped because of an internal error. */
  public static final int INTERNAL = 70;

  private ExitCode() {}
}
