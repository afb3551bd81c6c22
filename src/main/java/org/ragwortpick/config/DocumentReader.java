package org.ragwortpick.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * Reads typed values from one JSON object of a file and collects all problems instead of stopping
 * at the first. An invalid value is replaced by an empty one.
 */
final class DocumentReader {

  private final String file;
  private final String path;
  private final JsonNode node;
  private final List<ConfigurationProblem> problems;
  private final Set<String> readKeys = new TreeSet<>();

  /**
   * Creates a reader.
   *
   * @param file name of the file
   * @param path path of the object, empty for the whole file
   * @param node the object
   * @param problems list to which problems are added
   */
  DocumentReader(String file, String path, JsonNode node, List<ConfigurationProblem> problems) {
    this.file = file;
    this.path = path;
    this.node = node;
    this.problems = problems;
    if (!node.isObject()) {
      problems.add(
          new ConfigurationProblem.WrongType(file, path, node.toString(), "an object {...}"));
    }
  }

  private String pathOf(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }

  private Optional<JsonNode> readKey(String key) {
    readKeys.add(key);
    return Optional.ofNullable(node.get(key)).filter(value -> !value.isNull());
  }

  /**
   * Reads a string.
   *
   * @param key the key
   * @return the string; empty if it is absent or invalid
   */
  String string(String key) {
    Optional<JsonNode> value = readKey(key);
    if (value.isPresent() && !value.get().isTextual()) {
      addWrongType(pathOf(key), value.get(), "a string in double quotes");
    }
    return value.filter(JsonNode::isTextual).map(JsonNode::textValue).orElse("");
  }

  /**
   * Reads an integer.
   *
   * @param key the key
   * @param defaultValue value to use if the key is absent
   * @return the integer; 0 if it is invalid
   */
  long longNumber(String key, long defaultValue) {
    Optional<JsonNode> value = readKey(key);
    if (value.isEmpty()) {
      return defaultValue;
    }
    if (!value.get().isIntegralNumber() || !value.get().canConvertToLong()) {
      addWrongType(pathOf(key), value.get(), "an integer");
      return 0;
    }
    return value.get().longValue();
  }

  /**
   * Reads an integer of type {@code int}. A value outside the range of the type is clamped, so that
   * the validator reports it as out of range.
   *
   * @param key the key
   * @param defaultValue value to use if the key is absent
   * @return the integer; 0 if it is invalid
   */
  int intNumber(String key, int defaultValue) {
    return (int)
        Math.max(Integer.MIN_VALUE, Math.min(Integer.MAX_VALUE, longNumber(key, defaultValue)));
  }

  /**
   * Reads an enum constant, ignoring case.
   *
   * @param key the key
   * @param type enum type
   * @param <E> enum type
   * @return the constant; empty if it is absent or invalid
   */
  <E extends Enum<E>> Optional<E> enumConstant(String key, Class<E> type) {
    String text = string(key);
    for (E constant : type.getEnumConstants()) {
      if (constant.name().equalsIgnoreCase(text)) {
        return Optional.of(constant);
      }
    }
    if (!text.isEmpty()) {
      problems.add(
          new ConfigurationProblem.WrongType(
              file, pathOf(key), "\"" + text + "\"", "one of " + List.of(type.getEnumConstants())));
    }
    return Optional.empty();
  }

  /**
   * Reads a list of strings.
   *
   * @param key the key
   * @return the strings, with an empty one in place of each invalid element
   */
  List<String> strings(String key) {
    return elements(
        key,
        element -> {
          if (!element.node().isTextual()) {
            addWrongType(element.path(), element.node(), "a string in double quotes");
            return "";
          }
          return element.node().textValue();
        });
  }

  /**
   * Reads a list of objects.
   *
   * @param key the key
   * @param reader function that reads one object
   * @param <T> type of the values
   * @return the values
   */
  <T> List<T> objects(String key, Function<DocumentReader, T> reader) {
    return elements(
        key,
        element -> {
          DocumentReader child = new DocumentReader(file, element.path(), element.node(), problems);
          T value = reader.apply(child);
          child.rejectUnreadKeys();
          return value;
        });
  }

  private <T> List<T> elements(String key, Function<Element, T> reader) {
    Optional<JsonNode> list = readKey(key);
    if (list.isEmpty()) {
      return List.of();
    }
    if (!list.get().isArray()) {
      addWrongType(pathOf(key), list.get(), "a list [...]");
      return List.of();
    }
    List<T> values = new ArrayList<>();
    for (int i = 0; i < list.get().size(); i++) {
      values.add(reader.apply(new Element(pathOf(key) + "[" + i + "]", list.get().get(i))));
    }
    return values;
  }

  /**
   * Reports a key as not allowed, with a specific remedy.
   *
   * @param key the key
   * @param remedy remedy named in the message
   */
  void rejectKey(String key, String remedy) {
    readKey(key)
        .ifPresent(
            value ->
                problems.add(
                    new ConfigurationProblem.UnknownKey(
                        file, pathOf(key), value.toString(), remedy)));
  }

  /** Reports each key that was not read as not allowed. */
  void rejectUnreadKeys() {
    Iterator<String> keys = node.fieldNames();
    while (keys.hasNext()) {
      String key = keys.next();
      if (!readKeys.contains(key)) {
        problems.add(
            new ConfigurationProblem.UnknownKey(
                file,
                pathOf(key),
                node.get(key).toString(),
                "remove it or use one of " + readKeys));
      }
    }
  }

  private void addWrongType(String valuePath, JsonNode value, String expected) {
    problems.add(new ConfigurationProblem.WrongType(file, valuePath, value.toString(), expected));
  }

  private record Element(String path, JsonNode node) {}
}
