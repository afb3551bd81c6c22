package org.ragwortpick.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.ragwortpick.common.HostPort;

/** One VM of a deployment under test, in a process of its own. */
final class VmUnderTest {

  private static final String MAIN = "org.ragwortpick.cli.Main";

  private final String name;
  private final String ip;
  private final Path settings;
  private final Path dataFolder;
  private Process process;

  VmUnderTest(String name, String ip, Path settings, Path dataFolder) {
    this.name = name;
    this.ip = ip;
    this.settings = settings;
    this.dataFolder = dataFolder;
  }

  String name() {
    return name;
  }

  HostPort callerAddress() {
    return new HostPort(ip, 7100);
  }

  HostPort adminAddress() {
    return new HostPort(ip, 7200);
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  void bootstrap() throws IOException, InterruptedException {
    Process bootstrap = java("bootstrap");
    if (bootstrap.waitFor() != 0) {
      throw new IllegalStateException("bootstrap of " + name + " failed");
    }
  }

  void start() throws IOException {
    process = java("run");
  }

  void kill() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor();
  }

  int awaitExit(long timeoutMs) throws InterruptedException {
    return process.waitFor(timeoutMs, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
  }

  void suspend() throws IOException, InterruptedException {
    signal("-STOP");
  }

  void resume() throws IOException, InterruptedException {
    signal("-CONT");
  }

  void deleteDataFolder() throws IOException {
    try (var files = Files.walk(dataFolder)) {
      files.sorted(java.util.Comparator.reverseOrder()).forEach(VmUnderTest::delete);
    }
  }

  private static void delete(Path file) {
    try {
      Files.delete(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor();
  }

  private Process java(String command) throws IOException {
    Path java = Path.of(System.getProperty("java.home"), "bin", "java");
    List<String> commandLine =
        List.of(
            java.toString(),
            "-XX:-UsePerfData",
            "-XX:+UseSerialGC",
            "-Xmx160m",
            "-cp",
            System.getProperty("java.class.path"),
            MAIN,
            command,
            "--settings",
            settings.toString());
    Path log = settings.resolveSibling(name + ".log");
    return new ProcessBuilder(commandLine)
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
        .start();
  }
}
