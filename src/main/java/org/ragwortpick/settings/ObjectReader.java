package org.ragwortpick.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.ragwortpick.common.HostPort;

/** Reads the keys of one JSON object and collects all errors instead of stopping at the first. */
final class ObjectReader {

  private static final String STRING_REMEDY = "write a string in double quotes";
  private static final HostPort PLACEHOLDER_ADDRESS = new HostPort("0.0.0.0", 1);

  private final Path file;
  private final String keyPrefix;
  private final JsonNode node;
  private final List<SettingsError> errors;
  private final Set<String> readKeys = new HashSet<>();

  /**
   * Creates a reader.
   *
   * @param file file named in error messages
   * @param keyPrefix path of the object, prepended to its keys in error messages
   * @param node the object
   * @param errors list to which errors are added
   */
  ObjectReader(Path file, String keyPrefix, JsonNode node, List<SettingsError> errors) {
    this.file = file;
    this.keyPrefix = keyPrefix;
    this.node = node;
    this.errors = errors;
  }

  /**
   * Reads a required string.
   *
   * @param key key of the string
   * @param expected description of the expected value for the error message
   * @return the string; empty if it is absent or invalid
   */
  String requiredString(String key, String expected) {
    JsonNode value = readKey(key);
    if (value == null) {
      errors.add(new SettingsError.MissingKey(file, keyPrefix + key, expected));
      return "";
    }
    return toStringValue(key, value);
  }

  /**
   * Reads an optional string.
   *
   * @param key key of the string
   * @param defaultValue value used if the key is absent
   * @return the string; empty if it is invalid
   */
  String optionalString(String key, String defaultValue) {
    JsonNode value = readKey(key);
    return value == null ? defaultValue : toStringValue(key, value);
  }

  /**
   * Reads a required IPv4 address with a port.
   *
   * @param key key of the address
   * @return the address; a placeholder if it is absent or invalid
   */
  HostPort requiredAddress(String key) {
    String text = requiredString(key, "an IPv4 address and a port such as \"10.0.0.1:8080\"");
    if (text.isEmpty()) {
      return PLACEHOLDER_ADDRESS;
    }
    try {
      return HostPort.parse(text);
    } catch (IllegalArgumentException e) {
      addInvalidValue(
          key, quoted(text), "write an IPv4 address and a port such as \"10.0.0.1:8080\"");
      return PLACEHOLDER_ADDRESS;
    }
  }

  /**
   * Reads an optional integer.
   *
   * @param key key of the number
   * @param defaultValue value used if the key is absent or invalid
   * @param min smallest allowed value
   * @param max largest allowed value
   * @return the number
   */
  long optionalLong(String key, long defaultValue, long min, long max) {
    JsonNode value = readKey(key);
    if (value == null) {
      return defaultValue;
    }
    if (!value.isIntegralNumber() || value.asLong() < min || value.asLong() > max) {
      addInvalidValue(key, value.toString(), "write an integer from " + min + " to " + max);
      return defaultValue;
    }
    return value.asLong();
  }

  /**
   * Reads an optional limit, which may have a fraction. It is rounded down, so that no more is
   * allowed than it states.
   *
   * @param key key of the number
   * @param defaultValue value used if the key is absent or invalid
   * @param min smallest allowed value
   * @param max largest allowed value
   * @return the largest integer that is not above the number
   */
  long optionalLimit(String key, long defaultValue, long min, long max) {
    JsonNode value = readKey(key);
    if (value == null) {
      return defaultValue;
    }
    if (!value.isNumber() || value.asDouble() < min || value.asDouble() > max) {
      addInvalidValue(key, value.toString(), "write a number from " + min + " to " + max);
      return defaultValue;
    }
    return (long) Math.floor(value.asDouble());
  }

  /**
   * Reads an optional boolean.
   *
   * @param key key of the value
   * @param defaultValue value used if the key is absent or invalid
   * @return the value
   */
  boolean optionalBoolean(String key, boolean defaultValue) {
    JsonNode value = readKey(key);
    if (value != null && !value.isBoolean()) {
      addInvalidValue(key, value.toString(), "write true or false");
      return defaultValue;
    }
    return value == null ? defaultValue : value.asBoolean();
  }

  /**
   * Reads an optional number of at least 0, which may have a fraction.
   *
   * @param key key of the number
   * @param defaultValue value used if the key is absent or invalid
   * @return the number, at least 0
   */
  double optionalNonNegativeDouble(String key, double defaultValue) {
    JsonNode value = readKey(key);
    if (value != null && (!value.isNumber() || value.asDouble() < 0)) {
      addInvalidValue(key, value.toString(), "write a number of at least 0");
      return defaultValue;
    }
    return value == null ? defaultValue : value.asDouble();
  }

  /**
   * Reads a required list of strings.
   *
   * @param key key of the list
   * @param expected description of the expected value for the error message
   * @return the strings
   */
  List<String> requiredStrings(String key, String expected) {
    JsonNode value = readKey(key);
    if (value == null) {
      errors.add(new SettingsError.MissingKey(file, keyPrefix + key, expected));
      return List.of();
    }
    List<String> texts = new ArrayList<>();
    elements(key, value).forEach(element -> texts.add(toStringValue(key, element)));
    return texts;
  }

  /**
   * Reads an optional list of objects.
   *
   * @param <T> type of the elements
   * @param key key of the list
   * @param reader function that reads one element
   * @return the elements
   */
  <T> List<T> optionalObjects(String key, Function<ObjectReader, T> reader) {
    JsonNode value = readKey(key);
    List<T> result = new ArrayList<>();
    if (value == null) {
      return result;
    }
    int index = 0;
    for (JsonNode element : elements(key, value)) {
      result.add(readNested(key + "[" + index + "]", element, reader));
      index++;
    }
    return result;
  }

  /**
   * Reads an optional object.
   *
   * @param <T> type of the object
   * @param key key of the object
   * @param defaultValue value used if the key is absent
   * @param reader function that reads the object
   * @return the object
   */
  <T> T optionalObject(String key, T defaultValue, Function<ObjectReader, T> reader) {
    JsonNode value = readKey(key);
    return value == null ? defaultValue : readNested(key, value, reader);
  }

  /**
   * Adds an error about a value.
   *
   * @param key key with the invalid value
   * @param value the value as written
   * @param remedy what to write instead
   */
  void addInvalidValue(String key, String value, String remedy) {
    errors.add(new SettingsError.InvalidValue(file, keyPrefix + key, value, remedy));
  }

  /** Adds an error for each key that was not read. */
  void reportUnknownKeys() {
    node.fieldNames()
        .forEachRemaining(
            name -> {
              if (!readKeys.contains(name)) {
                String nearest = NearestName.find(name, readKeys);
                errors.add(new SettingsError.UnknownKey(file, keyPrefix + name, nearest));
              }
            });
  }

  /**
   * Puts a string in double quotes.
   *
   * @param text the string
   * @return the string in double quotes
   */
  static String quoted(String text) {
    return "\"" + text + "\"";
  }

  private <T> T readNested(String key, JsonNode value, Function<ObjectReader, T> reader) {
    if (!value.isObject()) {
      addInvalidValue(key, value.toString(), "write an object in braces");
    }
    ObjectReader nested = new ObjectReader(file, keyPrefix + key + ".", value, errors);
    T result = reader.apply(nested);
    nested.reportUnknownKeys();
    return result;
  }

  private Iterable<JsonNode> elements(String key, JsonNode value) {
    if (!value.isArray()) {
      addInvalidValue(key, value.toString(), "write a list in square brackets");
      return List.of();
    }
    return value;
  }

  private String toStringValue(String key, JsonNode value) {
    if (!value.isTextual() || value.asText().isBlank()) {
      addInvalidValue(key, value.toString(), STRING_REMEDY);
      return "";
    }
    return value.asText();
  }

  private JsonNode readKey(String key) {
    readKeys.add(key);
    JsonNode value = node.get(key);
    return value == null || value.isNull() ? null : value;
  }
}
