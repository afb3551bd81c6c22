package org.ragwortpick.cli;

import java.nio.file.Path;
import java.util.List;

/** Messages that several commands print. */
final class CliMessages {

  private CliMessages() {}

  /**
   * Message for an address from which no response was received.
   *
   * @param address address of the failed request
   * @return the message
   */
  static String unreachable(String address) {
    return "no process answered at "
        + address
        + "; check the address or use the administration address of another VM";
  }

  /**
   * Message for a file that cannot be read or parsed.
   *
   * @param file name of the file
   * @param detail what failed
   * @return the message
   */
  static String unreadable(String file, String detail) {
    return file + ": cannot be read (" + detail + "); check the path and the file";
  }

  /**
   * Hint at the list of commands, printed after a usage error.
   *
   * @return the message
   */
  static String usageHint() {
    return "run \"ragwortpick --help\" for the list of commands";
  }

  /**
   * Message for a process that failed to start.
   *
   * @param detail what failed
   * @return the message
   */
  static String startFailed(String detail) {
    return "the process could not start: " + detail;
  }

  /**
   * Message for a settings file that names an unknown edge protocol.
   *
   * @param name protocol name in the settings
   * @param available names of the available protocols
   * @return the message
   */
  static String unknownProtocol(String name, List<String> available) {
    return "protocol: unknown protocol \"" + name + "\"; use one of " + available;
  }

  /**
   * Message for a settings file without errors.
   *
   * @param file the file
   * @return the message
   */
  static String settingsValid(Path file) {
    return "settings in " + file + " are valid";
  }
}
