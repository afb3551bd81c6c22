package org.ragwortpick.settings;

import java.nio.file.Path;

/** Error found in a settings file. */
public sealed interface SettingsError {

  /**
   * Returns a message that names the file, the key, the value and the remedy.
   *
   * @return the message
   */
  String message();

  /**
   * The file cannot be read or is not JSON.
   *
   * @param file settings file
   * @param detail cause of the failure
   */
  record UnreadableFile(Path file, String detail) implements SettingsError {
    @Override
    public String message() {
      return SettingsMessages.unreadableFile(file, detail);
    }
  }

  /**
   * The file has an unknown key.
   *
   * @param file settings file
   * @param key path of the key
   * @param nearest valid key with the most similar name; empty if none is similar
   */
  record UnknownKey(Path file, String key, String nearest) implements SettingsError {
    @Override
    public String message() {
      return SettingsMessages.unknownKey(file, key, nearest);
    }
  }

  /**
   * The file lacks a required key.
   *
   * @param file settings file
   * @param key path of the key
   * @param expected description of the expected value
   */
  record MissingKey(Path file, String key, String expected) implements SettingsError {
    @Override
    public String message() {
      return SettingsMessages.missingKey(file, key, expected);
    }
  }

  /**
   * A key has an invalid value.
   *
   * @param file settings file
   * @param key path of the key
   * @param value the value
   * @param remedy what to write instead
   */
  record InvalidValue(Path file, String key, String value, String remedy) implements SettingsError {
    @Override
    public String message() {
      return SettingsMessages.invalidValue(file, key, value, remedy);
    }
  }
}
