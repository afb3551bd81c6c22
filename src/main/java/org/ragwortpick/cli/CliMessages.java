package org.ragwortpick.cli;

import java.nio.file.Path;
import java.util.List;

/** Texts of the messages of the command line. */
final class CliMessages {

  private CliMessages() {}

  /**
   * Text for a VM that does not answer.
   *
   * @param address address that was used
   * @return the message
   */
  static String unreachable(String address) {
    return "no process answered at "
        + address
        + "; check the address or use the administration address of another VM";
  }

  /**
   * Text for a file that cannot be read.
   *
   * @param file name of the file
   * @param detail what failed
   * @return the message
   */
  static String unreadable(String file, String detail) {
    return file + ": cannot be read (" + detail + "); check the path and the file";
  }

  /**
   * Text that points to the help.
   *
   * @return the message
   */
  static String usageHint() {
    return "run \"ragwortpick --help\" for the list of commands";
  }

  /**
   * Text for a process that cannot start.
   *
   * @param detail what failed
   * @return the message
   */
  static String startFailed(String detail) {
    return "the process could not start: " + detail;
  }

  /**
   * Names the protocols that can be chosen.
   *
   * @param name name in the settings
   * @param known names that can be chosen
   * @return text
   */
  static String unknownProtocol(String name, List<String> known) {
    return "protocol: \"" + name + "\" is not known; write one of " + known;
  }

  /**
   * Tells that a settings file has no fault.
   *
   * @param file the file
   * @return text
   */
  static String settingsValid(Path file) {
    return "settings in " + file + " are valid";
  }
}
