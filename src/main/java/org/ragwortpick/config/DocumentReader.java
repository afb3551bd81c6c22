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
 * Reads typed values from one JSON object of a file and notes every fault instead of stopping at
 * the first. A faulty value is replaced by an empty one.
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
   * @param problems receives the faults
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

  private Optional<JsonNode> find(String key) {
    readKeys.add(key);
    return Optional.ofNullable(node.get(key)).filter(value -> !value.isNull());
  }

  /**
   * Reads a text.
   *
   * @param key the key
   * @return the text; empty if it is absent or faulty
   */
  String text(String key) {
    Optional<JsonNode> value = find(key);
    if (value.isPresent() && !value.get().isTextual()) {
      addWrongType(pathOf(key), value.get(), "a text in quotation marks");
    }
    return value.filter(JsonNode::isTextual).map(JsonNode::textValue).orElse("");
  }

  /**
   * Reads a whole number.
   *
   * @param key the key
   * @param absent number to use if the key is absent
   * @return the number; 0 if it is faulty
   */
  long number(String key, long absent) {
    Optional<JsonNode> value = find(key);
    if (value.isEmpty()) {
      return absent;
    }
    if (!value.get().isIntegralNumber() || !value.get().canConvertToLong()) {
      addWrongType(pathOf(key), value.get(), "a whole number");
      return 0;
    }
    return value.get().longValue();
  }

  /**
   * Reads a whole number that fits the type int. A larger number is limited, so that the check of
   * its range reports it.
   *
   * @param key the key
   * @param absent number to use if the key is absent
   * @return the number; 0 if it is faulty
   */
  int smallNumber(String key, int absent) {
    return (int) Math.max(Integer.MIN_VALUE, Math.min(Integer.MAX_VALUE, number(key, absent)));
  }

  /**
   * Reads a constant of an enumeration, in lower or upper case.
   *
   * @param key the key
   * @param type the enumeration
   * @param <E> the enumeration
   * @return the constant; empty if it is absent or faulty
   */
  <E extends Enum<E>> Optional<E> constant(String key, Class<E> type) {
    String text = text(key);
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
   * Reads a list of texts.
   *
   * @param key the key
   * @return the texts, with an empty one in place of each faulty one
   */
  List<String> texts(String key) {
    return elements(
        key,
        element -> {
          if (!element.node().isTextual()) {
            addWrongType(element.path(), element.node(), "a text in quotation marks");
            return "";
          }
          return element.node().textValue();
        });
  }

  /**
   * Reads a list of objects.
   *
   * @param key the key
   * @param reader reads one object
   * @param <T> type of the values
   * @return the values
   */
  <T> List<T> objects(String key, Function<DocumentReader, T> reader) {
    return elements(
        key,
        element -> {
          DocumentReader child = new DocumentReader(file, element.path(), element.node(), problems);
          T value = reader.apply(child);
          child.refuseOtherKeys();
          return value;
        });
  }

  private <T> List<T> elements(String key, Function<Element, T> reader) {
    Optional<JsonNode> list = find(key);
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
   * Refuses a key with a remedy of its own.
   *
   * @param key the key
   * @param remedy what to do
   */
  void refuse(String key, String remedy) {
    find(key)
        .ifPresent(
            value ->
                problems.add(
                    new ConfigurationProblem.UnknownKey(
                        file, pathOf(key), value.toString(), remedy)));
  }

  /** Refuses each key that was not read. */
  void refuseOtherKeys() {
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

  private void addWrongType(String at, JsonNode value, String expected) {
    problems.add(new ConfigurationProblem.WrongType(file, at, value.toString(), expected));
  }

  private record Element(String path, JsonNode node) {}
}
