package org.ragwortpick.config;

import java.util.Collection;

/** Fault in a file or a proposal of the operators. */
public sealed interface ConfigurationProblem {

  /**
   * Returns the file or document in which the fault is.
   *
   * @return name of the file
   */
  String file();

  /**
   * Returns the place of the fault.
   *
   * @return path of the key, such as {@code services[0].slots}; empty for the whole file
   */
  String key();

  /**
   * Message for operators that names file, key, value and remedy.
   *
   * @return the message
   */
  String message();

  private static String at(String file, String key) {
    return file + ": " + key + ": ";
  }

  /**
   * The text is no JSON.
   *
   * @param file name of the file
   * @param line line number from 1
   * @param column column number from 1
   * @param detail what the parser found
   */
  record Syntax(String file, int line, int column, String detail) implements ConfigurationProblem {
    @Override
    public String key() {
      return "";
    }

    @Override
    public String message() {
      return at(file, "line " + line + ", column " + column)
          + detail
          + "; write JSON, in which comments are allowed";
    }
  }

  /**
   * A key is not known.
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
      return at(file, key) + "the key with value " + value + " is not allowed; " + remedy;
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
      return at(file, key) + value + " has the wrong type; write " + expected;
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
      return at(file, key) + "the value is absent or empty; " + remedy;
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
      return at(file, key) + "the name \"" + value + "\" is used twice; remove or rename one";
    }
  }

  /**
   * A name refers to nothing.
   *
   * @param file name of the file
   * @param key path of the reference
   * @param value the name
   * @param kind kind of the thing that is referred to
   * @param known names that exist
   */
  record UnknownName(String file, String key, String value, String kind, Collection<String> known)
      implements ConfigurationProblem {

    /** Most names that a message lists; an inventory may have thousands of workspaces. */
    private static final int MAX_LISTED = 20;

    @Override
    public String message() {
      return at(file, key)
          + "there is no "
          + kind
          + " \""
          + value
          + "\"; add it to the inventory or use one of "
          + known.stream().limit(MAX_LISTED).toList();
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
   * @param reason why the range ends there; empty if it is a fixed limit
   */
  record OutOfRange(String file, String key, long value, long min, long max, String reason)
      implements ConfigurationProblem {
    @Override
    public String message() {
      return at(file, key)
          + value
          + " is out of range; use "
          + min
          + " to "
          + max
          + (reason.isEmpty() ? "" : ", " + reason);
    }
  }
}
