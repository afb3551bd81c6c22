package org.ragwortpick.settings;

import java.nio.file.Path;

/** Texts of the messages on faulty settings. */
final class SettingsMessages {

  private SettingsMessages() {}

  /**
   * Text for a file that cannot be parsed.
   *
   * @param file the file
   * @param detail what failed
   * @return the message
   */
  static String unreadableFile(Path file, String detail) {
    return file + ": cannot be read as JSON with comments: " + detail + "; correct the file";
  }

  /**
   * Text for a key that does not exist.
   *
   * @param file the file
   * @param key path of the key
   * @param nearest most similar known key; empty if none is similar
   * @return the message
   */
  static String unknownKey(Path file, String key, String nearest) {
    String remedy =
        nearest.isEmpty() ? "remove it" : "remove it or write \"" + nearest + "\" instead";
    return file + ": key \"" + key + "\" is unknown; " + remedy;
  }

  /**
   * Text for a required key that is absent.
   *
   * @param file the file
   * @param key path of the key
   * @param expected what the key should hold
   * @return the message
   */
  static String missingKey(Path file, String key, String expected) {
    return file + ": key \"" + key + "\" is missing; add it with " + expected;
  }

  /**
   * Text for a value that cannot be used.
   *
   * @param file the file
   * @param key path of the key
   * @param value the value as written
   * @param remedy what to write instead
   * @return the message
   */
  static String invalidValue(Path file, String key, String value, String remedy) {
    return file + ": key \"" + key + "\" has the invalid value " + value + "; " + remedy;
  }
}
