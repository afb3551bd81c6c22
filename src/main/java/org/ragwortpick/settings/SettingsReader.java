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

/** Reads a settings file and checks it as a whole. */
public final class SettingsReader {

  private static final int MAX_EXECUTION_GROUPS = 64;
  private static final long MAX_BODY_BYTES = 64L * 1024 * 1024;
  private static final int MAX_WORKER_THREADS = 512;
  private static final long MIN_STOP_TIMEOUT_MS = 10_000;
  private static final long MAX_STOP_TIMEOUT_MS = 600_000;
  private static final int MAX_LOADS_PER_SECOND = 1_000;
  private static final Set<String> LOG_LEVELS = Set.of("TRACE", "DEBUG", "INFO", "WARN", "ERROR");

  private SettingsReader() {}

  /**
   * Reads a settings file.
   *
   * @param file JSON file, comments allowed
   * @return the settings, or every fault that was found
   */
  public static Either<List<SettingsError>, Settings> read(Path file) {
    JsonNode root;
    try {
      root = Json.FILES.readTree(Files.readString(file));
    } catch (IOException e) {
      return Either.left(List.of(new SettingsError.UnreadableFile(file, firstLine(e))));
    }
    if (root == null || !root.isObject()) {
      return Either.left(
          List.of(new SettingsError.UnreadableFile(file, "the file holds no object in braces")));
    }
    List<SettingsError> errors = new ArrayList<>();
    ObjectReader reader = new ObjectReader(file, "", root, errors);
    Settings settings = readSettings(file, reader);
    reader.finish();
    // Checks across keys would report the placeholders of faulty values a second time.
    if (errors.isEmpty()) {
      checkWhole(reader, settings);
    }
    return errors.isEmpty() ? Either.right(settings) : Either.left(List.copyOf(errors));
  }

  /**
   * Returns the first line of an error message.
   *
   * @param e the error
   * @return its kind and the first line of its text
   */
  static String firstLine(IOException e) {
    String text = e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
    return e.getClass().getSimpleName() + ": " + text.lines().findFirst().orElse("");
  }

  private static Settings readSettings(Path file, ObjectReader reader) {
    String dataFolder = reader.optionalText("dataFolder", "");
    return new Settings(
        reader.requiredText("vm", "the unique name of this VM"),
        reader.requiredText("dataCentre", "the name of the data centre of this VM"),
        reader.requiredText("clusterId", "the name of the deployment"),
        readRoles(reader),
        reader.requiredAddress("callerAddress"),
        reader.requiredAddress("adminAddress"),
        reader.requiredAddress("peerAddress"),
        dataFolder.isEmpty() ? Optional.empty() : Optional.of(resolve(file, dataFolder)),
        reader.objects("controlVms", SettingsReader::readPeer),
        reader.objects("peers", SettingsReader::readPeer),
        reader.optionalObject("limits", Limits.DEFAULT, SettingsReader::readLimits),
        readLogLevel(reader));
  }

  /**
   * Resolves a folder against the folder of the settings file.
   *
   * @param file settings file
   * @param dataFolder folder as the settings name it
   * @return absolute path
   */
  static Path resolve(Path file, String dataFolder) {
    Path parent = file.toAbsolutePath().getParent();
    return parent.resolve(dataFolder).normalize();
  }

  private static Set<Role> readRoles(ObjectReader reader) {
    Set<Role> roles = EnumSet.noneOf(Role.class);
    for (String text : reader.requiredTexts("roles", "[\"entry\"] or [\"entry\", \"control\"]")) {
      try {
        roles.add(Role.valueOf(text.toUpperCase(Locale.ROOT)));
      } catch (IllegalArgumentException e) {
        reader.invalid("roles", ObjectReader.quoted(text), "write \"entry\" or \"control\"");
      }
    }
    return roles;
  }

  private static PeerVm readPeer(ObjectReader reader) {
    return new PeerVm(
        reader.requiredText("vm", "the name of the VM"),
        reader.requiredText("dataCentre", "the data centre of the VM"),
        reader.requiredAddress("peerAddress"));
  }

  private static Limits readLimits(ObjectReader reader) {
    Limits defaults = Limits.DEFAULT;
    return new Limits(
        (int)
            reader.optionalNumber(
                "executionGroups", defaults.executionGroups(), 1, MAX_EXECUTION_GROUPS),
        reader.optionalNumber("maxBodyBytes", defaults.maxBodyBytes(), 1, MAX_BODY_BYTES),
        (int)
            reader.optionalNumber("workerThreads", defaults.workerThreads(), 1, MAX_WORKER_THREADS),
        reader.optionalNumber(
            "stopTimeoutMs", defaults.stopTimeoutMs(), MIN_STOP_TIMEOUT_MS, MAX_STOP_TIMEOUT_MS),
        (int)
            reader.optionalNumber(
                "weightLoadsPerSecond", defaults.weightLoadsPerSecond(), 1, MAX_LOADS_PER_SECOND));
  }

  /**
   * Reads the lowest level of log lines.
   *
   * @param reader reader of the settings
   * @return level in upper case
   */
  static String readLogLevel(ObjectReader reader) {
    String level = reader.optionalText("logLevel", "INFO").toUpperCase(Locale.ROOT);
    if (!LOG_LEVELS.contains(level)) {
      reader.invalid(
          "logLevel", ObjectReader.quoted(level), "write TRACE, DEBUG, INFO, WARN or ERROR");
    }
    return level;
  }

  private static void checkWhole(ObjectReader reader, Settings settings) {
    checkAddresses(reader, settings);
    if (settings.controlVms().isEmpty()) {
      reader.invalid("controlVms", "[]", "list each control VM with vm, dataCentre, peerAddress");
    }
    checkUniqueNames(reader, "controlVms", settings.controlVms());
    checkUniqueNames(reader, "peers", settings.peers());
    if (settings.roles().isEmpty()) {
      reader.invalid("roles", "[]", "write [\"entry\"] or [\"entry\", \"control\"]");
    }
    checkControlRole(reader, settings);
  }

  private static void checkAddresses(ObjectReader reader, Settings settings) {
    Set<HostPort> own = new HashSet<>();
    own.add(settings.callerAddress());
    if (!own.add(settings.adminAddress())) {
      reader.invalid("adminAddress", quoted(settings.adminAddress()), "use another port");
    }
    if (!own.add(settings.peerAddress())) {
      reader.invalid("peerAddress", quoted(settings.peerAddress()), "use another port");
    }
  }

  private static void checkUniqueNames(ObjectReader reader, String key, List<PeerVm> vms) {
    Set<String> names = new HashSet<>();
    for (PeerVm vm : vms) {
      if (!names.add(vm.vm())) {
        reader.invalid(key, ObjectReader.quoted(vm.vm()), "list each VM once");
      }
    }
  }

  private static void checkControlRole(ObjectReader reader, Settings settings) {
    Optional<PeerVm> self =
        settings.controlVms().stream().filter(vm -> vm.vm().equals(settings.vm())).findFirst();
    if (!settings.isControl()) {
      settings
          .dataFolder()
          .ifPresent(
              folder ->
                  reader.invalid(
                      "dataFolder",
                      ObjectReader.quoted(folder.toString()),
                      "remove it or add the role \"control\""));
      return;
    }
    if (settings.dataFolder().isEmpty()) {
      reader.invalid("dataFolder", "(absent)", "name a folder on a disk; control VMs need one");
    }
    if (self.isEmpty()) {
      reader.invalid("controlVms", "(own VM absent)", "list " + settings.vm() + " there as well");
    } else if (!self.get().peerAddress().equals(settings.peerAddress())) {
      reader.invalid(
          "peerAddress",
          quoted(settings.peerAddress()),
          "write the address that controlVms gives, " + self.get().peerAddress());
    }
    settings
        .dataFolder()
        .flatMap(DataFolderProbe::check)
        .ifPresent(
            fault ->
                reader.invalid(
                    "dataFolder",
                    ObjectReader.quoted(settings.dataFolder().orElseThrow().toString()),
                    "files there cannot be written and synced ("
                        + fault
                        + "); name a folder on a local disk"));
  }

  private static String quoted(HostPort address) {
    return ObjectReader.quoted(address.toString());
  }
}
