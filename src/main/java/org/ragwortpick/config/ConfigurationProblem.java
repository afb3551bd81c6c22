package org.ragwortpick.config;

import java.util.Collection;

/** Problem found in a configuration file or in a configuration proposed by an operator. */
public sealed interface ConfigurationProblem {

  /**
   * Returns the file or document that has the problem.
   *
   * @return name of the file
   */
  String file();

  /**
   * Returns the key that has the problem.
   *
   * @return path of the key, such as {@code services[0].slots}; empty for the whole file
   */
  String key();

  /**
   * Returns a message for operators that names the file, key, value and remedy.
   *
   * @return the message
   */
  String message();

  private static String locationPrefix(String file, String key) {
    return file + ": " + key + ": ";
  }

  /**
   * The file is not valid JSON.
   *
   * @param file name of the file
   * @param line line number, starting at 1
   * @param column column number, starting at 1
   * @param detail message of the parser
   */
  record Syntax(String file, int line, int column, String detail) implements ConfigurationProblem {
    @Override
    public String key() {
      return "";
    }

    @Override
    public String message() {
      return locationPrefix(file, "line " + line + ", column " + column)
          + detail
          + "; write JSON, in which comments are allowed";
    }
  }

  /**
   * A key is not allowed at its position.
   *
   * @param file name of the file
   * @param key path of the key
   * @param value value of the key
   * @param remedy what to do
   */
  record UnknownKey(String file, String key, String value, String remedy)
      implements ConfigurationProblem {
    @Override
    public String message() {
      return locationPrefix(file, key)
          + "the key with value "
          + value
          + " is not allowed; "
          + remedy;
    }
  }

  /**
   * A value has the wrong type.
   *
   * @param file name of the file
   * @param key path of the key
   * @param value the value
   * @param expected expected type
   */
  record WrongType(String file, String key, String value, String expected)
      implements ConfigurationProblem {
    @Override
    public String message() {
      return locationPrefix(file, key) + value + " has the wrong type; write " + expected;
    }
  }

  /**
   * A required value is absent or empty.
   *
   * @param file name of the file
   * @param key path of the key
   * @param remedy what to do
   */
  record Missing(String file, String key, String remedy) implements ConfigurationProblem {
    @Override
    public String message() {
      return locationPrefix(file, key) + "the value is absent or empty; " + remedy;
    }
  }

  /**
   * A name is used twice.
   *
   * @param file name of the file
   * @param key path of the second use
   * @param value the name
   */
  record DuplicateName(String file, String key, String value) implements ConfigurationProblem {
    @Override
    public String message() {
      return locationPrefix(file, key)
          + "the name \""
          + value
          + "\" is used twice; remove or rename one";
    }
  }

  /**
   * A reference names an object that does not exist.
   *
   * @param file name of the file
   * @param key path of the reference
   * @param value the name
   * @param kind kind of the referenced object, such as a service
   * @param existingNames names of the existing objects
   */
  record UnknownName(
      String file, String key, String value, String kind, Collection<String> existingNames)
      implements ConfigurationProblem {

    /** Limits the names listed in a message; an inventory may have thousands of workspaces. */
    private static final int MAX_LISTED_NAMES = 20;

    @Override
    public String message() {
      return locationPrefix(file, key)
          + "there is no "
          + kind
          + " \""
          + value
          + "\"; add it to the inventory or use one of "
          + existingNames.stream().limit(MAX_LISTED_NAMES).toList();
    }
  }

  /**
   * A number is out of range.
   *
   * @param file name of the file
   * @param key path of the key
   * @param value the number
   * @param min lowest allowed number
   * @param max highest allowed number
   * @param reason reason for the upper limit; empty for a fixed limit
   */
  record OutOfRange(String file, String key, long value, long min, long max, String reason)
      implements ConfigurationProblem {
    @Override
    public String message() {
      return locationPrefix(file, key)
          + value
          + " is out of range; use "
          + min
          + " to "
          + max
          + (reason.isEmpty() ? "" : ", " + reason);
    }
  }
}
