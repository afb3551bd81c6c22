package org.ragwortpick.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against stack traces and wrong exit codes on faulty command lines. */
public final class MainTest {

  @DataProvider
  Object[][] commandLines() {
    return new Object[][] {
      {new String[] {}, ExitCode.USAGE, "usage: ragwortpick"},
      {new String[] {"--help"}, ExitCode.OK, "take-out"},
      {new String[] {"bogus"}, ExitCode.USAGE, "ragwortpick --help"},
      {new String[] {"take-out", "--help"}, ExitCode.OK, "--now"},
      {new String[] {"take-out", "norte-b"}, ExitCode.USAGE, "--admin"},
      {new String[] {"state", "--admin", "localhost"}, ExitCode.USAGE, "IPv4 address"},
      {new String[] {"state", "--admin", "127.0.0.1:1"}, ExitCode.UNREACHABLE, "another VM"},
      {
        new String[] {"check-settings", "--settings", "absent.json"},
        ExitCode.INVALID_FILE,
        "absent.json"
      },
      {new String[] {"forward", "--settings", "absent.json"}, ExitCode.INVALID_FILE, "absent.json"},
      {
        new String[] {"forward", "--settings", "absent.json", "--check"},
        ExitCode.INVALID_FILE,
        "absent.json"
      },
      {new String[] {"forward", "--settings", "--check"}, ExitCode.INVALID_FILE, "--check"},
      {new String[] {"forward"}, ExitCode.USAGE, "--settings"},
    };
  }

  @Test(dataProvider = "commandLines")
  public void exitCodeAndMessage(String[] args, int exitCode, String text) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    PrintStream stream = new PrintStream(bytes, true, StandardCharsets.UTF_8);
    assertEquals(Main.run(args, stream, stream), exitCode);
    String output = bytes.toString(StandardCharsets.UTF_8);
    assertTrue(output.contains(text), output);
    assertTrue(!output.contains("\tat "), output);
  }
}
