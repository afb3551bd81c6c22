package org.ragwortpick.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against invalid settings that are accepted or reported without a remedy. */
public final class SettingsReaderTest {

  private static final String VALID_SETTINGS =
      """
      // Settings of a control VM.
      {
        "vm": "norte-a-1", "dataCentre": "norte-a", "clusterId": "test",
        "roles": ["entry", "control"],
        "callerAddress": "127.0.0.1:8101",
        "adminAddress": "127.0.0.1:8201",
        "peerAddress": "127.0.0.1:8301",
        "dataFolder": "data",
        "controlVms": [
          {"vm": "norte-a-1", "dataCentre": "norte-a", "peerAddress": "127.0.0.1:8301"},
        ],
      }
      """;

  private Path folder;

  @BeforeMethod
  public void createFolder() throws IOException {
    folder = Files.createTempDirectory("settings");
  }

  @DataProvider
  Object[][] invalidSettings() {
    return new Object[][] {
      {"\"vm\": \"norte-a-1\", \"dataCentre\"", "\"dataCentre\"", "key \"vm\" is missing"},
      {"\"roles\":", "\"rolls\":", "write \"roles\" instead"},
      {"127.0.0.1:8101", "localhost:8101", "write an IPv4 address"},
      {"127.0.0.1:8101", "127.0.0.1:99999", "write an IPv4 address"},
      {"127.0.0.1:8201", "127.0.0.1:8101", "use another port"},
      {"\"entry\", \"control\"", "\"entry\", \"leader\"", "write \"entry\" or \"control\""},
      {"\"dataFolder\": \"data\",", "", "control VMs need one"},
      {"\"dataFolder\": \"data\"", "\"dataFolder\": \"/proc/none\"", "cannot be written"},
      {"\"dataFolder\": \"data\"", "\"dataFolder\": 7", "write a string in double quotes"},
      {"\"roles\":", "\"limits\": {\"stopTimeout\": 5}, \"roles\":", "\"stopTimeoutMs\" instead"},
      {
        "\"roles\":",
        "\"limits\": {\"stopTimeoutMs\": 5}, \"roles\":",
        "write an integer from 10000"
      },
      {"\"roles\":", "\"logLevel\": \"loud\", \"roles\":", "write TRACE, DEBUG"},
      {"{\"vm\": \"norte-a-1\"", "{\"vm\": \"norte-a-2\"", "list norte-a-1 there as well"},
      {"\"clusterId\"", "clusterId", "correct the file"},
    };
  }

  @Test
  public void readsValidFile() throws IOException {
    Either<List<SettingsError>, Settings> settings = read(VALID_SETTINGS);
    assertTrue(settings.isRight(), String.valueOf(settings));
    assertEquals(settings.get().dataFolder().orElseThrow(), folder.resolve("data"));
    assertTrue(settings.get().isControl());
  }

  @Test(dataProvider = "invalidSettings")
  public void reportsInvalidSettingWithRemedy(String original, String replacement, String expected)
      throws IOException {
    Either<List<SettingsError>, Settings> settings =
        read(VALID_SETTINGS.replace(original, replacement));
    assertTrue(settings.isLeft());
    String messages = settings.getLeft().stream().map(SettingsError::message).toList().toString();
    assertTrue(messages.contains(expected), messages);
  }

  @Test
  public void reportsAllErrorsOfFile() throws IOException {
    String text = VALID_SETTINGS.replace("127.0.0.1:8101", "x").replace("127.0.0.1:8201", "y");
    assertEquals(read(text).getLeft().size(), 2);
  }

  private Either<List<SettingsError>, Settings> read(String text) throws IOException {
    Path file = folder.resolve("vm.json");
    Files.writeString(file, text);
    return SettingsReader.read(file);
  }
}
