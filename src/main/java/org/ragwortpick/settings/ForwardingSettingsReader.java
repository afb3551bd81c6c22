package org.ragwortpick.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.math.BigDecimal;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.Json;
import org.ragwortpick.rollout.RolloutBounds;

/** Reads and validates the settings of a process in a deployment that forwards requests. */
public final class ForwardingSettingsReader {

  /**
   * Environment variable with the time in seconds after which the environment kills a process that
   * it has asked to stop.
   */
  public static final String KILL_AFTER_SECONDS = "KILL_AFTER_SECONDS";

  private static final int MAX_PORT = 65_535;
  private static final int MAX_TOLERATED_DISK_LOSSES = 10;
  private static final int MAX_RETRY_RATIO_PERCENT = 1_000;
  private static final int MAX_RETRY_CONSTANT = 1_000_000;
  private static final int PERCENT = 100;
  private static final int MAX_PROCESSOR_PERCENT = 1_000_000;
  private static final int MAX_FILE_DESCRIPTORS = 100_000_000;

  /** Files, and connections to other VMs, need as many. */
  private static final int MIN_FILE_DESCRIPTORS = 400;

  private static final long MIN_STOP_TIMEOUT_MS = 1_000;
  private static final long MAX_STOP_TIMEOUT_MS = 600_000;

  private static final int MAX_EXPOSURE_SLACK = 1_000_000;

  /** Counts and decisions travel for up to three seconds; a shorter bound cannot be kept. */
  private static final long MIN_ROLLBACK_MS = 3_000;

  private static final long MAX_ROLLBACK_MS = 3_600_000;
  private static final int MISSING = -1;

  /** Time that a process needs to close after its last request has ended or was aborted. */
  private static final long CLOSE_TIME_MS = 600;

  /** Default retry budget: at most one retry per ten requests. */
  private static final double DEFAULT_RETRY_RATIO = 0.1;

  private static final int DEFAULT_RETRY_CONSTANT = 10;

  private ForwardingSettingsReader() {}

  /**
   * Reads a settings file.
   *
   * @param file the file, JSON with comments
   * @param environment environment variables of the process; {@link #KILL_AFTER_SECONDS} replaces
   *     the stop timeout of the file, others single values ({@link EnvironmentValues})
   * @return the settings, or all errors
   */
  public static Either<List<SettingsError>, ForwardingSettings> read(
      Path file, Map<String, String> environment) {
    JsonNode root;
    try {
      root = Json.FILES.readTree(Files.readString(file));
    } catch (IOException e) {
      return Either.left(
          List.of(new SettingsError.UnreadableFile(file, SettingsReader.typeAndFirstLine(e))));
    }
    if (root == null || !root.isObject()) {
      return Either.left(
          List.of(
              new SettingsError.UnreadableFile(file, "the top-level value is not a JSON object")));
    }
    List<SettingsError> errors = new ArrayList<>();
    EnvironmentValues.apply((ObjectNode) root, environment);
    ObjectReader reader = new ObjectReader(file, "", root, errors);
    ForwardingSettings settings = readSettings(file, reader, environment);
    reader.reportUnknownKeys();
    if (errors.isEmpty()) {
      checkAcrossKeys(reader, settings);
    }
    return errors.isEmpty() ? Either.right(settings) : Either.left(List.copyOf(errors));
  }

  private static ForwardingSettings readSettings(
      Path file, ObjectReader reader, Map<String, String> environment) {
    return new ForwardingSettings(
        reader.requiredAddress("peerAddress"),
        reader.requiredString("dataCentre", "the name of the data centre of this VM"),
        reader.requiredString("clusterId", "the name of the deployment"),
        reader.requiredString("protocol", "the name of the edge protocol"),
        reader.optionalObject("seeds", List.of(), ForwardingSettingsReader::readSeeds),
        reader.optionalObject(
            "control", Optional.empty(), nested -> Optional.of(readControlRole(file, nested))),
        reader.optionalObject(
            "entry", Optional.empty(), nested -> Optional.of(readEntryRole(nested, environment))),
        SettingsReader.readLogLevel(reader));
  }

  /**
   * Reads the seeds. The hosts are listed with the port of another service of the VM, which is
   * replaced by the peer port; the peer port is the same on all VMs.
   */
  private static List<HostPort> readSeeds(ObjectReader reader) {
    int port = (int) reader.optionalLong("peerPort", 1, 1, MAX_PORT);
    return reader.requiredStrings("hosts", "[\"10.0.0.1:8080\"]").stream()
        .map(text -> text.contains(":") ? text.substring(0, text.indexOf(':')) : text)
        .map(host -> parseAddress(reader, host + ":" + port))
        .flatMap(Optional::stream)
        .distinct()
        .toList();
  }

  private static Optional<HostPort> parseAddress(ObjectReader reader, String text) {
    try {
      return Optional.of(HostPort.parse(text));
    } catch (IllegalArgumentException e) {
      reader.addInvalidValue(
          "hosts", ObjectReader.quoted(text), "write IPv4 addresses such as \"10.0.0.1\"");
      return Optional.empty();
    }
  }

  private static ForwardingSettings.ControlRole readControlRole(Path file, ObjectReader reader) {
    String folder = reader.optionalString("dataFolder", "");
    return new ForwardingSettings.ControlRole(
        folder.isEmpty()
            ? Optional.empty()
            : Optional.of(SettingsReader.resolveDataFolder(file, folder)),
        reader.optionalBoolean("firstStart", false),
        (int) reader.optionalLong("toleratedDiskLosses", 1, 0, MAX_TOLERATED_DISK_LOSSES),
        reader.requiredAddress("operatorAddress"),
        reader.requiredAddress("directoryAddress"),
        reader.optionalObject(
            "rollouts", Optional.empty(), nested -> Optional.of(readRolloutBounds(nested))));
  }

  /** All three bounds must be stated, since a default would weaken a promise. */
  private static RolloutBounds readRolloutBounds(ObjectReader reader) {
    double share = reader.optionalNonNegativeDouble("exposureShare", MISSING);
    if (share == MISSING || share <= 0 || share >= 1) {
      reader.addInvalidValue(
          "exposureShare",
          share == MISSING ? "(absent)" : String.valueOf(share),
          "write a share of the requests between 0 and 1, such as 0.1");
    }
    long slack = reader.optionalLimit("exposureSlack", MISSING, 0, MAX_EXPOSURE_SLACK);
    if (slack == MISSING) {
      reader.addInvalidValue("exposureSlack", "(absent)", "write a number of requests");
    }
    long rollbackMs = reader.optionalLimit("rollbackMs", MISSING, MIN_ROLLBACK_MS, MAX_ROLLBACK_MS);
    if (rollbackMs == MISSING) {
      reader.addInvalidValue("rollbackMs", "(absent)", "write a time in milliseconds");
    }
    return new RolloutBounds(share, (int) slack, rollbackMs);
  }

  private static ForwardingSettings.EntryRole readEntryRole(
      ObjectReader reader, Map<String, String> environment) {
    double ratio = reader.optionalNonNegativeDouble("retryRatio", DEFAULT_RETRY_RATIO);
    return new ForwardingSettings.EntryRole(
        reader.requiredAddress("callerAddress"),
        reader.requiredAddress("readinessAddress"),
        readStopTimeoutMs(reader, environment.getOrDefault(KILL_AFTER_SECONDS, "")),
        wholePercent(ratio),
        (int) reader.optionalLimit("retryConstant", DEFAULT_RETRY_CONSTANT, 0, MAX_RETRY_CONSTANT),
        reader.optionalObject("processor", 0, ForwardingSettingsReader::readProcessorPercent),
        readMaxFileDescriptors(reader),
        readOverloadControl(reader));
  }

  private static int readMaxFileDescriptors(ObjectReader reader) {
    long count = reader.optionalLong("maxFileDescriptors", 0, 0, MAX_FILE_DESCRIPTORS);
    if (count > 0 && count < MIN_FILE_DESCRIPTORS) {
      reader.addInvalidValue(
          "maxFileDescriptors",
          Long.toString(count),
          "allow the process at least "
              + MIN_FILE_DESCRIPTORS
              + " file descriptors and state their number, or omit the key");
    }
    return (int) count;
  }

  private static OverloadControl readOverloadControl(ObjectReader reader) {
    String value = reader.optionalString("overloadControl", "off");
    return switch (value) {
      case "off" -> OverloadControl.OFF;
      case "on" -> OverloadControl.ON;
      case "auto" -> OverloadControl.AUTO;
      default -> {
        reader.addInvalidValue(
            "overloadControl",
            ObjectReader.quoted(value),
            "write \"off\", \"on\" or \"auto\", or remove the key for \"off\"");
        yield OverloadControl.OFF;
      }
    };
  }

  /** Rounds down, so that no more is allowed than the ratio states; 0.29 is 29 percent. */
  private static int wholePercent(double ratio) {
    BigDecimal percent = BigDecimal.valueOf(ratio).movePointRight(2);
    return percent.min(BigDecimal.valueOf(MAX_RETRY_RATIO_PERCENT)).intValue();
  }

  /**
   * Reads the stop timeout. Where the environment states the time after which it kills a process
   * that it has asked to stop, that time decides.
   */
  private static long readStopTimeoutMs(ObjectReader reader, String killAfterSeconds) {
    long stopTimeoutMs =
        reader.optionalLong(
            "stopTimeoutMs", MIN_STOP_TIMEOUT_MS, MIN_STOP_TIMEOUT_MS, MAX_STOP_TIMEOUT_MS);
    if (killAfterSeconds.isBlank()) {
      return stopTimeoutMs;
    }
    try {
      long killAfterMs = Math.round(Double.parseDouble(killAfterSeconds.trim()) * 1_000);
      if (killAfterMs > CLOSE_TIME_MS && killAfterMs <= MAX_STOP_TIMEOUT_MS) {
        return killAfterMs - CLOSE_TIME_MS;
      }
    } catch (NumberFormatException e) {
      // Reported below, like a number out of range.
    }
    reader.addInvalidValue(
        KILL_AFTER_SECONDS,
        ObjectReader.quoted(killAfterSeconds),
        "set the environment variable to seconds above 0.6 and up to 600, or unset it");
    return stopTimeoutMs;
  }

  /** A processor is stated as a share of a core and the speed of that core, 1 for a usual one. */
  private static int readProcessorPercent(ObjectReader reader) {
    double cores =
        reader.optionalNonNegativeDouble("share", 0) * reader.optionalNonNegativeDouble("speed", 1);
    return (int) Math.min(MAX_PROCESSOR_PERCENT, Math.round(cores * PERCENT));
  }

  private static void checkAcrossKeys(ObjectReader reader, ForwardingSettings settings) {
    if (settings.seeds().isEmpty()) {
      reader.addInvalidValue("seeds", "{}", "list the addresses of control VMs under hosts");
    }
    if (settings.control().isEmpty() && settings.entry().isEmpty()) {
      reader.addInvalidValue(
          "control", "(absent)", "write the object \"control\", \"entry\" or both");
    }
    settings
        .control()
        .flatMap(ForwardingSettings.ControlRole::dataFolder)
        .ifPresent(
            folder ->
                DataFolderProbe.check(folder)
                    .ifPresent(
                        failure ->
                            reader.addInvalidValue(
                                "control.dataFolder",
                                ObjectReader.quoted(folder.toString()),
                                "files there cannot be written and synced ("
                                    + failure
                                    + "); name a folder on a local disk")));
  }
}
