package org.ragwortpick.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.ragwortpick.rollout.RolloutBounds;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against settings of a forwarding process that are misread or accepted by mistake. */
public final class ForwardingSettingsReaderTest {

  private Path file;

  @BeforeMethod
  public void writeSettings() throws IOException {
    file = Files.createTempFile("settings", ".json");
    Files.writeString(
        file,
        """
        {
          "peerAddress": "127.0.0.1:7601", "dataCentre": "a", "clusterId": "c",
          "protocol": "platform",
          "seeds": { "hosts": ["127.0.0.1"], "peerPort": 7601 },
          "entry": {
            "callerAddress": "127.0.0.1:7602", "readinessAddress": "127.0.0.1:7603",
            "stopTimeoutMs": 7400
          }
        }
        """);
  }

  @AfterMethod
  public void deleteSettings() throws IOException {
    Files.delete(file);
  }

  private Either<List<SettingsError>, ForwardingSettings> read(String killAfterSeconds) {
    return ForwardingSettingsReader.read(
        file, Map.of(ForwardingSettingsReader.KILL_AFTER_SECONDS, killAfterSeconds));
  }

  private long stopTimeoutMs(String killAfterSeconds) {
    return read(killAfterSeconds).get().entry().orElseThrow().stopTimeoutMs();
  }

  /** A stop that lasts longer than the kill would cut off what it has accepted. */
  @Test
  public void stopEndsBeforeTheKill() {
    assertEquals(stopTimeoutMs("8"), 7_400);
    assertEquals(stopTimeoutMs("3.5"), 2_900);
    assertEquals(stopTimeoutMs(" "), 7_400);
    assertEquals(
        ForwardingSettingsReader.read(file, Map.of()).get().entry().orElseThrow().stopTimeoutMs(),
        7_400);
  }

  /** A ratio that is rounded up would allow more retries than the operators do. */
  @Test
  public void retryRatioIsNeverRoundedUp() throws IOException {
    String settings = Files.readString(file);
    for (Map.Entry<String, Integer> ratio :
        Map.of("0.125", 12, "0.2", 20, "0.29", 29, "0.999", 99).entrySet()) {
      Files.writeString(
          file,
          settings.replace("\"entry\": {", "\"entry\": { \"retryRatio\": " + ratio.getKey() + ","));
      assertEquals(
          read("8").get().entry().orElseThrow().retryRatioPercent(),
          ratio.getValue().intValue(),
          ratio.getKey());
    }
  }

  /** A deployment that divides its limits among VMs states fractions, and must still start. */
  @Test
  public void limitsWithFractionAreRoundedDown() throws IOException {
    String settings = Files.readString(file);
    for (Map.Entry<String, Integer> constant :
        Map.of("38.70967741935484", 38, "0.5", 0, "58.0", 58, "240", 240).entrySet()) {
      Files.writeString(
          file,
          settings.replace(
              "\"entry\": {", "\"entry\": { \"retryConstant\": " + constant.getKey() + ","));
      assertEquals(
          read("8").get().entry().orElseThrow().retryConstant(),
          constant.getValue().intValue(),
          constant.getKey());
    }
    RolloutBounds bounds =
        readWithRollouts(
                "\"rollouts\": {\"exposureShare\": 0.1, \"exposureSlack\": 7.9,"
                    + " \"rollbackMs\": 5000.5},")
            .get()
            .control()
            .orElseThrow()
            .rolloutBounds()
            .orElseThrow();
    assertEquals(bounds, new RolloutBounds(0.1, 7, 5_000));
  }

  /** A platform that states a value only in some deployments leaves its variable empty. */
  @Test
  public void environmentStatesValuesInPlaceOfTheFile() {
    assertEquals(readWith("MAX_FILE_DESCRIPTORS", " ").get().entry().get().maxFileDescriptors(), 0);
    assertEquals(
        readWith("MAX_FILE_DESCRIPTORS", "4100").get().entry().get().maxFileDescriptors(), 4_100);
    for (String invalid : List.of("many", "256")) {
      String message = readWith("MAX_FILE_DESCRIPTORS", invalid).getLeft().get(0).message();
      assertTrue(
          message.contains("entry.maxFileDescriptors") && message.contains(invalid), message);
    }
  }

  private Either<List<SettingsError>, ForwardingSettings> readWith(String variable, String value) {
    return ForwardingSettingsReader.read(file, Map.of(variable, value));
  }

  /** With fewer descriptors the process would fail in the middle of its work. */
  @Test
  public void tooFewFileDescriptorsAreReported() throws IOException {
    String settings = Files.readString(file);
    assertEquals(read("8").get().entry().orElseThrow().maxFileDescriptors(), 0);
    Files.writeString(
        file, settings.replace("\"entry\": {", "\"entry\": { \"maxFileDescriptors\": 4100,"));
    assertEquals(read("8").get().entry().orElseThrow().maxFileDescriptors(), 4_100);
    Files.writeString(
        file, settings.replace("\"entry\": {", "\"entry\": { \"maxFileDescriptors\": 256,"));
    String message = read("8").getLeft().get(0).message();
    assertTrue(
        message.contains("entry.maxFileDescriptors")
            && message.contains("256")
            && message.contains("at least 400"),
        message);
  }

  @Test
  public void overloadControlIsReadAndCheckedByValue() throws IOException {
    String settings = Files.readString(file);
    assertEquals(read("8").get().entry().orElseThrow().overloadControl(), OverloadControl.OFF);
    Files.writeString(
        file, settings.replace("\"entry\": {", "\"entry\": { \"overloadControl\": \"on\","));
    assertEquals(read("8").get().entry().orElseThrow().overloadControl(), OverloadControl.ON);
    Files.writeString(
        file, settings.replace("\"entry\": {", "\"entry\": { \"overloadControl\": \"yes\","));
    String message = read("8").getLeft().get(0).message();
    assertTrue(
        message.contains("overloadControl") && message.contains("yes") && message.contains("auto"),
        message);
  }

  /** A full disk must not make settings invalid that a process has run with. */
  @Test
  public void folderInUseIsNotProbedAgain() throws IOException {
    Path folder = Files.createTempDirectory("data");
    // A folder in place of the probe file makes the probe fail, as a full disk does.
    Files.createDirectory(folder.resolve(".sync-probe"));
    assertTrue(DataFolderProbe.check(folder).isPresent());
    Files.createFile(folder.resolve("identity.json"));
    assertTrue(DataFolderProbe.check(folder).isEmpty());
  }

  @Test
  public void invalidKillTimeIsReported() {
    for (String invalid : List.of("soon", "0", "-1", "NaN", "1e9")) {
      List<SettingsError> errors = read(invalid).getLeft();
      assertEquals(errors.size(), 1, invalid);
      String message = errors.get(0).message();
      assertTrue(message.contains("KILL_AFTER_SECONDS") && message.contains("600"), message);
    }
  }

  private Either<List<SettingsError>, ForwardingSettings> readWithRollouts(String section)
      throws IOException {
    Files.writeString(
        file,
        """
        {
          "peerAddress": "127.0.0.1:7601", "dataCentre": "a", "clusterId": "c",
          "protocol": "platform",
          "seeds": { "hosts": ["127.0.0.1"], "peerPort": 7601 },
          "control": {
            %s
            "operatorAddress": "127.0.0.1:7602", "directoryAddress": "127.0.0.1:7603"
          }
        }
        """
            .formatted(section));
    return read("8");
  }

  /** A bound that is missing must not be replaced by one that nobody promised. */
  @Test
  public void rolloutsNeedAllTheirBounds() throws IOException {
    assertTrue(readWithRollouts("").get().control().orElseThrow().rolloutBounds().isEmpty());
    String share = "\"exposureShare\": 0.1";
    String slack = "\"exposureSlack\": 50";
    String rollback = "\"rollbackMs\": 5000";
    assertEquals(
        readWithRollouts("\"rollouts\": {%s, %s, %s},".formatted(share, slack, rollback))
            .get()
            .control()
            .orElseThrow()
            .rolloutBounds()
            .orElseThrow(),
        new RolloutBounds(0.1, 50, 5_000));
    for (Map.Entry<String, String> invalid :
        Map.of(
                share + "," + slack, "rollbackMs",
                share + "," + rollback, "exposureSlack",
                slack + "," + rollback, "exposureShare",
                "\"exposureShare\": 1," + slack + "," + rollback, "exposureShare",
                share + "," + slack + ", \"rollbackMs\": 10", "rollbackMs")
            .entrySet()) {
      List<SettingsError> errors =
          readWithRollouts("\"rollouts\": {" + invalid.getKey() + "},").getLeft();
      assertTrue(errors.get(0).message().contains(invalid.getValue()), invalid.getKey());
    }
  }
}
