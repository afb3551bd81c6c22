package org.ragwortpick.settings;

import java.nio.file.Path;

/** Formats the messages of settings errors. */
final class SettingsMessages {

  private SettingsMessages() {}

  /**
   * Formats the message for a file that cannot be parsed.
   *
   * @param file the file
   * @param detail cause of the failure
   * @return the message
   */
  static String unreadableFile(Path file, String detail) {
    return file + ": cannot be read as JSON with comments: " + detail + "; correct the file";
  }

  /**
   * Formats the message for an unknown key.
   *
   * @param file the file
   * @param key path of the key
   * @param nearest most similar valid key; empty if none is similar
   * @return the message
   */
  static String unknownKey(Path file, String key, String nearest) {
    String remedy =
        nearest.isEmpty() ? "remove it" : "remove it or write \"" + nearest + "\" instead";
    return file + ": key \"" + key + "\" is unknown; " + remedy;
  }

  /**
   * Formats the message for a required key that is absent.
   *
   * @param file the file
   * @param key path of the key
   * @param expected description of the expected value
   * @return the message
   */
  static String missingKey(Path file, String key, String expected) {
    return file + ": key \"" + key + "\" is missing; add it with " + expected;
  }

  /**
   * Formats the message for an invalid value.
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
