package org.ragwortpick.settings;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.Json;

/** Reads and validates the settings file of a process. */
public final class SettingsReader {

  private static final int MAX_EXECUTION_GROUPS = 64;
  private static final long MAX_BODY_LIMIT_BYTES = 64L * 1024 * 1024;
  private static final int MAX_WORKER_THREADS = 512;
  private static final long MIN_STOP_TIMEOUT_MS = 10_000;
  private static final long MAX_STOP_TIMEOUT_MS = 600_000;
  private static final int MAX_WEIGHT_LOADS_PER_SECOND = 1_000;
  private static final Set<String> LOG_LEVELS = Set.of("TRACE", "DEBUG", "INFO", "WARN", "ERROR");

  private SettingsReader() {}

  /**
   * Reads a settings file.
   *
   * @param file JSON file, comments allowed
   * @return the settings, or all errors
   */
  public static Either<List<SettingsError>, Settings> read(Path file) {
    JsonNode root;
    try {
      root = Json.FILES.readTree(Files.readString(file));
    } catch (IOException e) {
      return Either.left(List.of(new SettingsError.UnreadableFile(file, typeAndFirstLine(e))));
    }
    if (root == null || !root.isObject()) {
      return Either.left(
          List.of(
              new SettingsError.UnreadableFile(file, "the top-level value is not a JSON object")));
    }
    List<SettingsError> errors = new ArrayList<>();
    ObjectReader reader = new ObjectReader(file, "", root, errors);
    Settings settings = readSettings(file, reader);
    reader.reportUnknownKeys();
    // Invalid values were replaced by placeholders, for which the checks across keys would report
    // further errors.
    if (errors.isEmpty()) {
      checkAcrossKeys(reader, settings);
    }
    return errors.isEmpty() ? Either.right(settings) : Either.left(List.copyOf(errors));
  }

  /**
   * Returns the type of an error and the first line of its message.
   *
   * @param e the error
   * @return the type and the first line
   */
  static String typeAndFirstLine(IOException e) {
    String text = e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
    return e.getClass().getSimpleName() + ": " + text.lines().findFirst().orElse("");
  }

  private static Settings readSettings(Path file, ObjectReader reader) {
    String dataFolder = reader.optionalString("dataFolder", "");
    return new Settings(
        reader.requiredString("vm", "the unique name of this VM"),
        reader.requiredString("dataCentre", "the name of the data centre of this VM"),
        reader.requiredString("clusterId", "the name of the deployment"),
        readRoles(reader),
        reader.requiredAddress("callerAddress"),
        reader.requiredAddress("adminAddress"),
        reader.requiredAddress("peerAddress"),
        dataFolder.isEmpty() ? Optional.empty() : Optional.of(resolveDataFolder(file, dataFolder)),
        reader.optionalObjects("controlVms", SettingsReader::readPeer),
        reader.optionalObjects("peers", SettingsReader::readPeer),
        reader.optionalObject("limits", Limits.DEFAULT, SettingsReader::readLimits),
        readLogLevel(reader));
  }

  /**
   * Resolves the data folder against the folder of the settings file.
   *
   * @param file settings file
   * @param dataFolder absolute path, or path relative to the folder of the settings file
   * @return absolute path
   */
  static Path resolveDataFolder(Path file, String dataFolder) {
    Path parent = file.toAbsolutePath().getParent();
    return parent.resolve(dataFolder).normalize();
  }

  private static Set<Role> readRoles(ObjectReader reader) {
    Set<Role> roles = EnumSet.noneOf(Role.class);
    for (String text : reader.requiredStrings("roles", "[\"entry\"] or [\"entry\", \"control\"]")) {
      try {
        roles.add(Role.valueOf(text.toUpperCase(Locale.ROOT)));
      } catch (IllegalArgumentException e) {
        reader.addInvalidValue(
            "roles", ObjectReader.quoted(text), "write \"entry\" or \"control\"");
      }
    }
    return roles;
  }

  private static PeerVm readPeer(ObjectReader reader) {
    return new PeerVm(
        reader.requiredString("vm", "the name of the VM"),
        reader.requiredString("dataCentre", "the data centre of the VM"),
        reader.requiredAddress("peerAddress"));
  }

  private static Limits readLimits(ObjectReader reader) {
    Limits defaults = Limits.DEFAULT;
    return new Limits(
        (int)
            reader.optionalLong(
                "executionGroups", defaults.executionGroups(), 1, MAX_EXECUTION_GROUPS),
        reader.optionalLong("maxBodyBytes", defaults.maxBodyBytes(), 1, MAX_BODY_LIMIT_BYTES),
        (int) reader.optionalLong("workerThreads", defaults.workerThreads(), 1, MAX_WORKER_THREADS),
        reader.optionalLong(
            "stopTimeoutMs", defaults.stopTimeoutMs(), MIN_STOP_TIMEOUT_MS, MAX_STOP_TIMEOUT_MS),
        (int)
            reader.optionalLong(
                "weightLoadsPerSecond",
                defaults.weightLoadsPerSecond(),
                1,
                MAX_WEIGHT_LOADS_PER_SECOND));
  }

  /**
   * Reads the least severe level that is logged.
   *
   * @param reader reader of the settings
   * @return the level in upper case
   */
  static String readLogLevel(ObjectReader reader) {
    String level = reader.optionalString("logLevel", "INFO").toUpperCase(Locale.ROOT);
    if (!LOG_LEVELS.contains(level)) {
      reader.addInvalidValue(
          "logLevel", ObjectReader.quoted(level), "write TRACE, DEBUG, INFO, WARN or ERROR");
    }
    return level;
  }

  private static void checkAcrossKeys(ObjectReader reader, Settings settings) {
    checkDistinctAddresses(reader, settings);
    if (settings.controlVms().isEmpty()) {
      reader.addInvalidValue(
          "controlVms", "[]", "list each control VM with vm, dataCentre, peerAddress");
    }
    checkUniqueNames(reader, "controlVms", settings.controlVms());
    checkUniqueNames(reader, "peers", settings.peers());
    if (settings.roles().isEmpty()) {
      reader.addInvalidValue("roles", "[]", "write [\"entry\"] or [\"entry\", \"control\"]");
    }
    checkControlRole(reader, settings);
  }

  private static void checkDistinctAddresses(ObjectReader reader, Settings settings) {
    Set<HostPort> localAddresses = new HashSet<>();
    localAddresses.add(settings.callerAddress());
    if (!localAddresses.add(settings.adminAddress())) {
      reader.addInvalidValue("adminAddress", quoted(settings.adminAddress()), "use another port");
    }
    if (!localAddresses.add(settings.peerAddress())) {
      reader.addInvalidValue("peerAddress", quoted(settings.peerAddress()), "use another port");
    }
  }

  private static void checkUniqueNames(ObjectReader reader, String key, List<PeerVm> vms) {
    Set<String> names = new HashSet<>();
    for (PeerVm vm : vms) {
      if (!names.add(vm.vm())) {
        reader.addInvalidValue(key, ObjectReader.quoted(vm.vm()), "list each VM once");
      }
    }
  }

  private static void checkControlRole(ObjectReader reader, Settings settings) {
    Optional<PeerVm> listedSelf =
        settings.controlVms().stream().filter(vm -> vm.vm().equals(settings.vm())).findFirst();
    if (!settings.isControl()) {
      settings
          .dataFolder()
          .ifPresent(
              folder ->
                  reader.addInvalidValue(
                      "dataFolder",
                      ObjectReader.quoted(folder.toString()),
                      "remove it or add the role \"control\""));
      return;
    }
    if (settings.dataFolder().isEmpty()) {
      reader.addInvalidValue(
          "dataFolder", "(absent)", "name a folder on a disk; control VMs need one");
    }
    if (listedSelf.isEmpty()) {
      reader.addInvalidValue(
          "controlVms", "(own VM absent)", "list " + settings.vm() + " there as well");
    } else if (!listedSelf.get().peerAddress().equals(settings.peerAddress())) {
      reader.addInvalidValue(
          "peerAddress",
          quoted(settings.peerAddress()),
          "write the address that controlVms gives, " + listedSelf.get().peerAddress());
    }
    settings
        .dataFolder()
        .flatMap(DataFolderProbe::check)
        .ifPresent(
            failure ->
                reader.addInvalidValue(
                    "dataFolder",
                    ObjectReader.quoted(settings.dataFolder().orElseThrow().toString()),
                    "files there cannot be written and synced ("
                        + failure
                        + "); name a folder on a local disk"));
  }

  private static String quoted(HostPort address) {
    return ObjectReader.quoted(address.toString());
  }
}
