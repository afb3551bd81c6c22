package org.ragwortpick.settings;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.Json;

/** Reads and checks the settings of a process of a deployment that forwards requests. */
public final class ForwardingSettingsReader {

  private static final int MAX_PORT = 65_535;
  private static final int MAX_TOLERATED_LOSSES = 10;
  private static final int MAX_RETRY_RATIO_PERCENT = 1_000;
  private static final int MAX_RETRY_CONSTANT = 1_000_000;
  private static final int PERCENT = 100;
  private static final long MIN_STOP_TIMEOUT_MS = 1_000;
  private static final long MAX_STOP_TIMEOUT_MS = 600_000;

  /** Used where the settings give no ratio: at most one request in ten is sent again. */
  private static final double DEFAULT_RETRY_RATIO = 0.1;

  private static final int DEFAULT_RETRY_CONSTANT = 10;

  private ForwardingSettingsReader() {}

  /**
   * Reads a settings file.
   *
   * @param file the file, JSON with comments
   * @return the settings, or all faults
   */
  public static Either<List<SettingsError>, ForwardingSettings> read(Path file) {
    JsonNode root;
    try {
      root = Json.FILES.readTree(Files.readString(file));
    } catch (IOException e) {
      return Either.left(
          List.of(new SettingsError.UnreadableFile(file, SettingsReader.firstLine(e))));
    }
    if (root == null || !root.isObject()) {
      return Either.left(
          List.of(new SettingsError.UnreadableFile(file, "the file holds no object in braces")));
    }
    List<SettingsError> errors = new ArrayList<>();
    ObjectReader reader = new ObjectReader(file, "", root, errors);
    ForwardingSettings settings = readSettings(file, reader);
    reader.finish();
    if (errors.isEmpty()) {
      check(reader, settings);
    }
    return errors.isEmpty() ? Either.right(settings) : Either.left(List.copyOf(errors));
  }

  private static ForwardingSettings readSettings(Path file, ObjectReader reader) {
    return new ForwardingSettings(
        reader.requiredAddress("peerAddress"),
        reader.requiredText("dataCentre", "the name of the data centre of this VM"),
        reader.requiredText("clusterId", "the name of the deployment"),
        reader.requiredText("protocol", "the name of the edge protocol"),
        reader.optionalObject("seeds", List.of(), ForwardingSettingsReader::readSeeds),
        reader.optionalObject(
            "control", Optional.empty(), nested -> Optional.of(readControl(file, nested))),
        reader.optionalObject("entry", Optional.empty(), nested -> Optional.of(readEntry(nested))),
        SettingsReader.readLogLevel(reader));
  }

  /** Seeds state another port of their VMs; the peer port is the same on all of them. */
  private static List<HostPort> readSeeds(ObjectReader reader) {
    int port = (int) reader.optionalNumber("peerPort", 1, 1, MAX_PORT);
    return reader.requiredTexts("hosts", "[\"10.0.0.1:8080\"]").stream()
        .map(text -> text.contains(":") ? text.substring(0, text.indexOf(':')) : text)
        .map(host -> parse(reader, host + ":" + port))
        .flatMap(Optional::stream)
        .distinct()
        .toList();
  }

  private static Optional<HostPort> parse(ObjectReader reader, String text) {
    try {
      return Optional.of(HostPort.parse(text));
    } catch (IllegalArgumentException e) {
      reader.invalid("hosts", ObjectReader.quoted(text), "write IP numbers such as \"10.0.0.1\"");
      return Optional.empty();
    }
  }

  private static ForwardingSettings.ControlRole readControl(Path file, ObjectReader reader) {
    String folder = reader.optionalText("dataFolder", "");
    return new ForwardingSettings.ControlRole(
        folder.isEmpty() ? Optional.empty() : Optional.of(SettingsReader.resolve(file, folder)),
        reader.optionalFlag("firstStart", false),
        (int) reader.optionalNumber("toleratedDiskLosses", 1, 0, MAX_TOLERATED_LOSSES),
        reader.requiredAddress("operatorAddress"),
        reader.requiredAddress("directoryAddress"));
  }

  private static ForwardingSettings.EntryRole readEntry(ObjectReader reader) {
    double ratio = reader.optionalFraction("retryRatio", DEFAULT_RETRY_RATIO);
    return new ForwardingSettings.EntryRole(
        reader.requiredAddress("callerAddress"),
        reader.requiredAddress("readinessAddress"),
        reader.optionalNumber(
            "stopTimeoutMs", MIN_STOP_TIMEOUT_MS, MIN_STOP_TIMEOUT_MS, MAX_STOP_TIMEOUT_MS),
        (int) Math.min(MAX_RETRY_RATIO_PERCENT, Math.round(ratio * PERCENT)),
        (int)
            reader.optionalNumber("retryConstant", DEFAULT_RETRY_CONSTANT, 0, MAX_RETRY_CONSTANT));
  }

  private static void check(ObjectReader reader, ForwardingSettings settings) {
    if (settings.seeds().isEmpty()) {
      reader.invalid("seeds", "{}", "list the addresses of control VMs under hosts");
    }
    if (settings.control().isEmpty() && settings.entry().isEmpty()) {
      reader.invalid("control", "(absent)", "write the object \"control\", \"entry\" or both");
    }
    settings
        .control()
        .flatMap(ForwardingSettings.ControlRole::dataFolder)
        .ifPresent(
            folder ->
                DataFolderProbe.check(folder)
                    .ifPresent(
                        fault ->
                            reader.invalid(
                                "control.dataFolder",
                                ObjectReader.quoted(folder.toString()),
                                "files there cannot be written and synced ("
                                    + fault
                                    + "); name a folder on a local disk")));
  }
}
