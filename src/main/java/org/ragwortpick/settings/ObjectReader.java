package org.ragwortpick.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.ragwortpick.common.HostPort;

/** Reads the keys of one JSON object and collects every fault in place of stopping at the first. */
final class ObjectReader {

  private static final String TEXT_REMEDY = "write a text in quotes";
  private static final HostPort PLACEHOLDER_ADDRESS = new HostPort("0.0.0.0", 1);

  private final Path file;
  private final String prefix;
  private final JsonNode node;
  private final List<SettingsError> errors;
  private final Set<String> knownKeys = new HashSet<>();

  /**
   * Creates a reader.
   *
   * @param file file named in errors
   * @param prefix path of the object, put before its keys in errors
   * @param node the object
   * @param errors list to which faults are added
   */
  ObjectReader(Path file, String prefix, JsonNode node, List<SettingsError> errors) {
    this.file = file;
    this.prefix = prefix;
    this.node = node;
    this.errors = errors;
  }

  /**
   * Reads a text that must be present.
   *
   * @param key key of the text
   * @param expected what the key should hold, named when it is missing
   * @return the text; empty after a fault
   */
  String requiredText(String key, String expected) {
    JsonNode value = take(key);
    if (value == null) {
      errors.add(new SettingsError.MissingKey(file, prefix + key, expected));
      return "";
    }
    return text(key, value);
  }

  /**
   * Reads a text that may be absent.
   *
   * @param key key of the text
   * @param defaultValue text used when the key is absent
   * @return the text; empty after a fault
   */
  String optionalText(String key, String defaultValue) {
    JsonNode value = take(key);
    return value == null ? defaultValue : text(key, value);
  }

  /**
   * Reads an IP number with a port.
   *
   * @param key key of the address
   * @return the address; a placeholder after a fault
   */
  HostPort requiredAddress(String key) {
    String text = requiredText(key, "an IP number and a port such as \"10.0.0.1:8080\"");
    if (text.isEmpty()) {
      return PLACEHOLDER_ADDRESS;
    }
    try {
      return HostPort.parse(text);
    } catch (IllegalArgumentException e) {
      invalid(key, quoted(text), "write an IP number and a port such as \"10.0.0.1:8080\"");
      return PLACEHOLDER_ADDRESS;
    }
  }

  /**
   * Reads a whole number that may be absent.
   *
   * @param key key of the number
   * @param defaultValue number used when the key is absent and after a fault
   * @param min least allowed value
   * @param max greatest allowed value
   * @return the number
   */
  long optionalNumber(String key, long defaultValue, long min, long max) {
    JsonNode value = take(key);
    if (value == null) {
      return defaultValue;
    }
    if (!value.isIntegralNumber() || value.asLong() < min || value.asLong() > max) {
      invalid(key, value.toString(), "write a whole number from " + min + " to " + max);
      return defaultValue;
    }
    return value.asLong();
  }

  /**
   * Reads a truth value that may be absent.
   *
   * @param key key of the value
   * @param defaultValue value used when the key is absent
   * @return the value
   */
  boolean optionalFlag(String key, boolean defaultValue) {
    JsonNode value = take(key);
    if (value != null && !value.isBoolean()) {
      invalid(key, value.toString(), "write true or false");
      return defaultValue;
    }
    return value == null ? defaultValue : value.asBoolean();
  }

  /**
   * Reads a number that may be absent and may have a fraction.
   *
   * @param key key of the number
   * @param defaultValue value used when the key is absent
   * @return the number, at least 0
   */
  double optionalFraction(String key, double defaultValue) {
    JsonNode value = take(key);
    if (value != null && (!value.isNumber() || value.asDouble() < 0)) {
      invalid(key, value.toString(), "write a number of at least 0");
      return defaultValue;
    }
    return value == null ? defaultValue : value.asDouble();
  }

  /**
   * Reads a list of texts that must be present.
   *
   * @param key key of the list
   * @param expected what the key should hold, named when it is missing
   * @return the texts
   */
  List<String> requiredTexts(String key, String expected) {
    JsonNode value = take(key);
    if (value == null) {
      errors.add(new SettingsError.MissingKey(file, prefix + key, expected));
      return List.of();
    }
    List<String> texts = new ArrayList<>();
    elements(key, value).forEach(element -> texts.add(text(key, element)));
    return texts;
  }

  /**
   * Reads a list of objects that may be absent.
   *
   * @param <T> type of the elements
   * @param key key of the list
   * @param reader function that reads one element
   * @return the elements
   */
  <T> List<T> objects(String key, Function<ObjectReader, T> reader) {
    JsonNode value = take(key);
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
   * Reads an object that may be absent.
   *
   * @param <T> type of the object
   * @param key key of the object
   * @param defaultValue value used when the key is absent
   * @param reader function that reads the object
   * @return the object
   */
  <T> T optionalObject(String key, T defaultValue, Function<ObjectReader, T> reader) {
    JsonNode value = take(key);
    return value == null ? defaultValue : readNested(key, value, reader);
  }

  /**
   * Adds a fault.
   *
   * @param key key with the fault
   * @param value the value as written
   * @param remedy what to write instead
   */
  void invalid(String key, String value, String remedy) {
    errors.add(new SettingsError.InvalidValue(file, prefix + key, value, remedy));
  }

  /** Reports the keys that were not read as unknown. */
  void finish() {
    node.fieldNames()
        .forEachRemaining(
            name -> {
              if (!knownKeys.contains(name)) {
                String nearest = NearestName.find(name, knownKeys);
                errors.add(new SettingsError.UnknownKey(file, prefix + name, nearest));
              }
            });
  }

  /**
   * Puts a text in quotes.
   *
   * @param text the text
   * @return the text in quotes
   */
  static String quoted(String text) {
    return "\"" + text + "\"";
  }

  private <T> T readNested(String key, JsonNode value, Function<ObjectReader, T> reader) {
    if (!value.isObject()) {
      invalid(key, value.toString(), "write an object in braces");
    }
    ObjectReader nested = new ObjectReader(file, prefix + key + ".", value, errors);
    T result = reader.apply(nested);
    nested.finish();
    return result;
  }

  private Iterable<JsonNode> elements(String key, JsonNode value) {
    if (!value.isArray()) {
      invalid(key, value.toString(), "write a list in square brackets");
      return List.of();
    }
    return value;
  }

  private String text(String key, JsonNode value) {
    if (!value.isTextual() || value.asText().isBlank()) {
      invalid(key, value.toString(), TEXT_REMEDY);
      return "";
    }
    return value.asText();
  }

  private JsonNode take(String key) {
    knownKeys.add(key);
    JsonNode value = node.get(key);
    return value == null || value.isNull() ? null : value;
  }
}
