import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: machines of which each runs the role "entry", and the
 * first of each zone also the role "control". Programs and settings are those of deploy/system.toml.
 */
final class Deployment implements AutoCloseable {

  /** A machine. */
  static final class Machine {
    final String ip;
    final String zone;
    final boolean core;

    Machine(String ip, String zone, boolean core) {
      this.ip = ip;
      this.zone = zone;
      this.core = core;
    }
  }

  private static final int PORTS = 24;

  final Path root;
  final Path folder;
  final Record record;
  final String net;
  final int port;
  final List<Machine> machines = new ArrayList<>();
  final Map<String, Process> processes = new LinkedHashMap<>();

  /**
   * Creates the folder and chooses addresses; starts nothing.
   *
   * @param coreMachines machines with a disk, each in a zone of its own
   * @param otherMachines machines without a disk, over the zones in turn
   */
  Deployment(Path root, Record record, int coreMachines, int otherMachines) throws IOException {
    this.root = root;
    this.record = record;
    this.folder = Files.createTempDirectory("ragwortpick-review");
    Random random = new Random();
    String chosenNet = "";
    int chosenPort = 0;
    while (chosenPort == 0) {
      chosenNet = "127." + (70 + random.nextInt(150)) + "." + (1 + random.nextInt(250)) + ".";
      int candidate = 21_000 + random.nextInt(8_000);
      chosenPort = isFree(chosenNet, candidate) ? candidate : 0;
    }
    net = chosenNet;
    port = chosenPort;
    for (int i = 0; i < coreMachines; i++) {
      machines.add(new Machine(net + (i + 1), "zone-" + (char) ('a' + i), true));
    }
    for (int i = 0; i < otherMachines; i++) {
      machines.add(
          new Machine(
              net + (coreMachines + i + 1), "zone-" + (char) ('a' + i % coreMachines), false));
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  private static boolean isFree(String net, int first) {
    for (int offset = 0; offset < PORTS; offset++) {
      try (ServerSocket probe = new ServerSocket()) {
        probe.bind(new InetSocketAddress(InetAddress.getByName(net + "1"), first + offset));
      } catch (IOException e) {
        return false;
      }
    }
    return true;
  }

  String frontend(int machine) {
    return machines.get(machine).ip + ":" + (port + 20);
  }

  String ready(int machine) {
    return machines.get(machine).ip + ":" + (port + 21);
  }

  String control(int machine) {
    return machines.get(machine).ip + ":" + (port + 22);
  }

  String directory(int machine) {
    return machines.get(machine).ip + ":" + (port + 23);
  }

  List<String> controls() {
    List<String> addresses = new ArrayList<>();
    for (int i = 0; i < machines.size(); i++) {
      if (machines.get(i).core) {
        addresses.add(control(i));
      }
    }
    return addresses;
  }

  /** Starts all processes for the first time. */
  void start() throws IOException {
    for (int i = 0; i < machines.size(); i++) {
      if (machines.get(i).core) {
        start("control", i, true);
      }
      start("entry", i, true);
    }
  }

  /** Starts the process of a role on a machine. */
  Process start(String role, int machine, boolean firstStart) throws IOException {
    String name = role + "-" + machine;
    Path settings = folder.resolve(name + ".json");
    Files.writeString(settings, settings(role, machine, firstStart));
    List<String> command = new ArrayList<>();
    for (String word : deployValue(role, "run").split(" ")) {
      command.add(word.equals("/etc/ragwortpick/node.toml") ? settings.toString() : word);
    }
    ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    File log = folder.resolve(name + ".log").toFile();
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    Process process = builder.start();
    synchronized (processes) {
      processes.put(name, process);
    }
    record.line("start of %s on %s, %s", role, machines.get(machine).ip, machines.get(machine).zone);
    return process;
  }

  Process process(String role, int machine) {
    synchronized (processes) {
      return processes.get(role + "-" + machine);
    }
  }

  /** Sends a signal to a process of this deployment. */
  void signal(String signal, String role, int machine) throws IOException, InterruptedException {
    record.line("signal %s to %s on machine %d", signal, role, machine);
    new ProcessBuilder("kill", "-" + signal, Long.toString(process(role, machine).pid()))
        .inheritIO()
        .start()
        .waitFor();
  }

  private String deployValue(String role, String key) throws IOException {
    Matcher section =
        Pattern.compile("(?s)\\[roles\\." + role + "\\](.*?)(?=\\n\\[|$)")
            .matcher(Files.readString(root.resolve("deploy/system.toml")));
    if (!section.find()) {
      throw new IOException("deploy/system.toml has no role " + role);
    }
    Matcher value = Pattern.compile("(?m)^" + key + " = \"(.*)\"").matcher(section.group(1));
    if (!value.find()) {
      throw new IOException("role " + role + " has no value " + key);
    }
    return value.group(1);
  }

  /** Fills in the template of a role as the platform does. */
  private String settings(String role, int machine, boolean firstStart) throws IOException {
    Machine here = machines.get(machine);
    List<String> seeds = new ArrayList<>();
    controls().stream().limit(3).forEach(address -> seeds.add("\"" + address + "\""));
    String dataDir = here.core ? folder.resolve("data-" + role + "-" + machine).toString() : "";
    if (!dataDir.isEmpty()) {
      Files.createDirectories(Path.of(dataDir));
    }
    String text = Files.readString(root.resolve(deployValue(role, "template")));
    Matcher section = Pattern.compile("(?s)\\{\\{#DataDir\\}\\}(.*?)\\{\\{/DataDir\\}\\}").matcher(text);
    StringBuilder filled = new StringBuilder();
    while (section.find()) {
      String inner = dataDir.isEmpty() ? "" : section.group(1).replace("{{.}}", dataDir);
      section.appendReplacement(filled, Matcher.quoteReplacement(inner));
    }
    section.appendTail(filled);
    Map<String, String> values = new LinkedHashMap<>();
    values.put("Ip", here.ip);
    values.put("PortRange.0", Integer.toString(port));
    values.put("PortRange.1", Integer.toString(port + 15));
    values.put("Zone", here.zone);
    values.put("SeedNodes|json", "[" + String.join(",", seeds) + "]");
    values.put("Bootstrap|json", Boolean.toString(firstStart));
    values.put("FaultTolerance.Machines", "1");
    values.put("Listen.Frontend", frontend(machine));
    values.put("Listen.Ready", ready(machine));
    values.put("Listen.ControlPlane", control(machine));
    values.put("Listen.DirectoryAddr", directory(machine));
    values.put("Bounds.RetryBudgetRatio", "0.2");
    values.put("Bounds.RetryBudgetSlack", "58");
    values.put("Limits.CpuShare", here.core ? "0.675" : "0.75");
    values.put("Limits.CpuCores", here.core ? "2" : "1");
    String result = filled.toString();
    for (Map.Entry<String, String> value : values.entrySet()) {
      result = result.replace("{{" + value.getKey() + "}}", value.getValue());
    }
    if (result.contains("{{")) {
      throw new IOException("a placeholder of the template of " + role + " has no value: " + result);
    }
    return result;
  }

  /** Ends all processes that this deployment started and removes its folder. */
  @Override
  public void close() {
    synchronized (processes) {
      processes.values().forEach(Process::destroyForcibly);
      for (Process process : processes.values()) {
        try {
          process.waitFor();
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
    if (System.getenv("KEEP") != null || !Files.exists(folder)) {
      return;
    }
    try (Stream<Path> paths = Files.walk(folder)) {
      paths.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
    } catch (IOException e) {
      // The folder is a temporary one.
    }
  }
}
