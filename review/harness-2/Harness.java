import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Starts a small deployment with the commands of the deploy file, on loopback addresses, and plays its clients,
 * operator and engines. Run from the root of the repository, after the build of the deploy file.
 */
final class Harness implements AutoCloseable {

  static final String[] ZONES = {"zone-a", "zone-b", "zone-c"};

  static final int PEER = 0;
  static final int ENTRY_PEER = 1;
  static final int FRONTEND = 2;
  static final int READY = 3;
  static final int CONTROL = 4;
  static final int DIRECTORY = 5;

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Path folder;
  private final PrintStream record;
  private final long startedAtNs = System.nanoTime();
  private final String network;
  private final int[] ports;
  private final int vms;
  private final Map<String, Process> processes = new ConcurrentHashMap<>();
  private final Map<String, Integer> ends = new ConcurrentHashMap<>();
  private final List<AutoCloseable> closeables = new ArrayList<>();
  private volatile boolean closed;
  private volatile long restartDelayMs;

  /** Creates a deployment of so many VMs, one in each zone in turn; the first three run control too. */
  Harness(String caseFolder, int vms) throws IOException {
    // A case that cannot run must not look like one that broke its rule.
    Thread.currentThread().setUncaughtExceptionHandler(
        (thread, e) -> {
          log("the case could not run: %s", e);
          finish(2);
        });
    this.vms = vms;
    this.folder = Files.createTempDirectory("review-2-");
    this.record = new PrintStream(Path.of(caseFolder, "record.txt").toFile(), StandardCharsets.UTF_8);
    ThreadLocalRandom random = ThreadLocalRandom.current();
    this.network = "127." + random.nextInt(20, 120) + "." + random.nextInt(1, 250);
    this.ports = freePorts();
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    Thread limit =
        new Thread(
            () -> {
              sleep(110_000);
              log("the case did not end within 110 s");
              finish(2);
            });
    limit.setDaemon(true);
    limit.start();
    log("trouble %s, %d VMs", trouble, vms);
  }

  private int[] freePorts() throws IOException {
    for (int base = 21_600; base < 30_000; base += 10) {
      boolean free = true;
      for (int vm = 0; vm < vms && free; vm++) {
        for (int port = 0; port < 6 && free; port++) {
          try (ServerSocket probe = new ServerSocket()) {
            probe.bind(new InetSocketAddress(host(vm), base + port));
          } catch (IOException e) {
            free = false;
          }
        }
      }
      if (free) {
        return new int[] {base, base + 1, base + 2, base + 3, base + 4, base + 5};
      }
    }
    throw new IOException("no free ports");
  }

  String host(int vm) {
    return network + "." + (vm + 1);
  }

  String host(String suffix) {
    return network + "." + suffix;
  }

  InetSocketAddress address(int vm, int port) {
    return new InetSocketAddress(host(vm), ports[port]);
  }

  int controls() {
    return Math.min(3, vms);
  }

  void startAll() throws IOException {
    for (int vm = 0; vm < controls(); vm++) {
      start(vm, "control", true);
    }
    for (int vm = 0; vm < vms; vm++) {
      start(vm, "entry", true);
    }
  }

  /** Starts a process with the command, the environment and the template of its role in the deploy file. */
  synchronized void start(int vm, String role, boolean bootstrap) throws IOException {
    if (closed) {
      return;
    }
    String deploy = Files.readString(Path.of("deploy/system.toml"));
    Matcher section = Pattern.compile("(?s)\\[roles\\." + role + "\\](.*?)(?=\\n\\[roles|\\z)").matcher(deploy);
    if (!section.find()) {
      throw new IOException("no role " + role);
    }
    String run = value(section.group(1), "run = \"([^\"]*)\"");
    String template = value(section.group(1), "template = \"([^\"]*)\"");
    Path settings = folder.resolve(name(vm, role) + ".json");
    Files.writeString(settings, fill(Files.readString(Path.of(template)), vm, bootstrap));
    List<String> command =
        Arrays.stream(run.split(" "))
            .map(word -> word.equals("/etc/ragwortpick/node.toml") ? settings.toString() : word)
            .collect(Collectors.toList());
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(name(vm, role) + ".log").toFile()));
    if (role.equals("entry")) {
      builder.environment().put("KILL_AFTER_SECONDS", "8");
      builder.environment().put("MAX_FILE_DESCRIPTORS", "4100");
    }
    Process process = builder.start();
    processes.put(name(vm, role), process);
    process
        .onExit()
        .thenAccept(
            ended -> {
              if (!closed) {
                log("process %s ended with code %d: %s", name(vm, role), ended.exitValue(), lastLine(vm, role));
                ends.merge(name(vm, role), 1, Integer::sum);
                restartLater(vm, role);
              }
            });
  }

  private String lastLine(int vm, String role) {
    try {
      String[] lines = processLog(vm, role).split("\n");
      String last = lines[lines.length - 1];
      return last.length() > 300 ? last.substring(0, 300) : last;
    } catch (IOException e) {
      return "";
    }
  }

  /** Starts processes that end again after a short delay, as the platform does. */
  void restartEndedAfter(long delayMs) {
    restartDelayMs = delayMs;
  }

  private void restartLater(int vm, String role) {
    if (restartDelayMs == 0) {
      return;
    }
    daemon(
        () -> {
          sleep(restartDelayMs);
          try {
            log("process %s is started again", name(vm, role));
            start(vm, role, false);
          } catch (IOException e) {
            log("process %s is not started again: %s", name(vm, role), e);
          }
        });
  }

  static String name(int vm, String role) {
    return "vm" + vm + "-" + role;
  }

  private static String value(String text, String pattern) throws IOException {
    Matcher matcher = Pattern.compile(pattern).matcher(text);
    if (!matcher.find()) {
      throw new IOException("the deploy file has no " + pattern);
    }
    return matcher.group(1);
  }

  private String fill(String template, int vm, boolean bootstrap) throws IOException {
    boolean disk = vm < controls();
    Path data = folder.resolve("data-" + vm);
    if (disk) {
      Files.createDirectories(data);
    }
    String text =
        Pattern.compile("(?s)\\{\\{#DataDir}}(.*?)\\{\\{/DataDir}}")
            .matcher(template)
            .replaceAll(m -> disk ? Matcher.quoteReplacement(m.group(1).replace("{{.}}", data.toString())) : "");
    Map<String, String> values = new TreeMap<>();
    values.put("Ip", host(vm));
    values.put("PortRange.0", "" + ports[PEER]);
    values.put("PortRange.1", "" + ports[ENTRY_PEER]);
    values.put("Zone", ZONES[vm % ZONES.length]);
    StringBuilder seeds = new StringBuilder("[");
    for (int seed = 0; seed < controls(); seed++) {
      seeds.append(seed > 0 ? "," : "").append('"').append(host(seed)).append(':').append(ports[CONTROL]).append('"');
    }
    values.put("SeedNodes|json", seeds.append(']').toString());
    values.put("Bootstrap|json", "" + bootstrap);
    values.put("FaultTolerance.Machines", "1");
    values.put("Listen.Frontend", text(address(vm, FRONTEND)));
    values.put("Listen.Ready", text(address(vm, READY)));
    values.put("Listen.ControlPlane", text(address(vm, CONTROL)));
    values.put("Listen.DirectoryAddr", text(address(vm, DIRECTORY)));
    values.put("Bounds.RetryBudgetRatio", "0.2");
    values.put("Bounds.RetryBudgetSlack", "58");
    values.put("Limits.CpuShare", "0.75");
    values.put("Limits.CpuCores", "1");
    for (Map.Entry<String, String> value : values.entrySet()) {
      text = text.replace("{{" + value.getKey() + "}}", value.getValue());
    }
    if (text.contains("{{")) {
      throw new IOException("placeholder without a value in " + text);
    }
    return text;
  }

  static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  Process process(int vm, String role) {
    return processes.get(name(vm, role));
  }

  boolean isAlive(int vm, String role) {
    return process(vm, role).isAlive();
  }

  int ends(int vm, String role) {
    return ends.getOrDefault(name(vm, role), 0);
  }

  void signal(int vm, String role, String signal) throws IOException, InterruptedException {
    log("signal %s to %s", signal, name(vm, role));
    new ProcessBuilder("kill", "-" + signal, "" + process(vm, role).pid()).start().waitFor();
  }

  String processLog(int vm, String role) throws IOException {
    return Files.readString(folder.resolve(name(vm, role) + ".log"));
  }

  void log(String format, Object... arguments) {
    String line =
        String.format(Locale.ROOT, "%8.3f ", (System.nanoTime() - startedAtNs) / 1e9)
            + String.format(Locale.ROOT, format, arguments);
    synchronized (record) {
      record.println(line);
      record.flush();
    }
  }

  long nowMs() {
    return (System.nanoTime() - startedAtNs) / 1_000_000;
  }

  static void sleep(long ms) {
    try {
      TimeUnit.MILLISECONDS.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends a configuration until it is acknowledged. */
  boolean configure(String json, long limitMs) {
    long endMs = nowMs() + limitMs;
    for (int attempt = 0; nowMs() < endMs; attempt++) {
      int vm = attempt % controls();
      int status = order(vm, "/config/replace", json, 2_000);
      if (status == 200) {
        log("configuration acknowledged by vm%d", vm);
        return true;
      }
      sleep(200);
    }
    return false;
  }

  /** Sends an order as the operator does, following redirects; 0 if there is no response. */
  int order(int vm, String path, String body, int timeoutMs) {
    try {
      InetSocketAddress target = address(vm, CONTROL);
      String targetPath = path;
      for (int hop = 0; hop < 3; hop++) {
        Response response =
            call(target, "POST", targetPath, Map.of("Content-Type", "application/json"), body.getBytes(StandardCharsets.UTF_8), timeoutMs);
        if (response.status != 307) {
          return response.status;
        }
        Matcher location = Pattern.compile("http://([^:/]+):(\\d+)(/.*)").matcher(response.header("location"));
        if (!location.matches()) {
          return response.status;
        }
        target = new InetSocketAddress(location.group(1), Integer.parseInt(location.group(2)));
        targetPath = location.group(3);
      }
      return 307;
    } catch (IOException e) {
      return 0;
    }
  }

  /** Finds the machine whose control process leads, by the metrics of the processes; -1 if none says so. */
  int leader() {
    for (int vm = 0; vm < controls(); vm++) {
      try {
        String metrics = new String(call(address(vm, CONTROL), "GET", "/metrics", Map.of(), new byte[0], 1_000).body, StandardCharsets.UTF_8);
        if (metrics.contains("role=\"LEADER\"")) {
          return vm;
        }
      } catch (IOException e) {
        // Another one may lead.
      }
    }
    return -1;
  }

  /** Waits until all entry processes are ready. */
  boolean awaitReady(long limitMs) {
    long endMs = nowMs() + limitMs;
    while (nowMs() < endMs) {
      int ready = 0;
      for (int vm = 0; vm < vms; vm++) {
        try {
          if (call(address(vm, READY), "GET", "/readyz", Map.of(), new byte[0], 1_000).status == 200) {
            ready++;
          }
        } catch (IOException e) {
          // Not ready yet.
        }
      }
      if (ready == vms) {
        log("all entry processes are ready");
        return true;
      }
      sleep(200);
    }
    return false;
  }

  static Response call(
      InetSocketAddress target, String method, String path, Map<String, String> headers, byte[] body, int timeoutMs)
      throws IOException {
    try (Connection connection = new Connection(target)) {
      return connection.exchange(method, path, headers, body, timeoutMs);
    }
  }

  void closeAtEnd(AutoCloseable closeable) {
    synchronized (closeables) {
      closeables.add(closeable);
    }
  }

  /** Ends all processes; none is started any more after it has begun. */
  private synchronized void endProcesses() {
    closed = true;
    processes.values().forEach(Process::destroyForcibly);
    for (Process process : processes.values()) {
      try {
        process.waitFor();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  void finish(int code) {
    log("exit code %d", code);
    close();
    Runtime.getRuntime().halt(code);
  }

  @Override
  public void close() {
    endProcesses();
    for (AutoCloseable closeable : closeables) {
      try {
        closeable.close();
      } catch (Exception e) {
        // It is ended with this process.
      }
    }
    String kept = System.getenv("KEEP");
    if (kept == null) {
      try (Stream<Path> paths = Files.walk(folder)) {
        for (Path path : paths.sorted(Comparator.reverseOrder()).collect(Collectors.toList())) {
          Files.delete(path);
        }
      } catch (IOException e) {
        log("the temporary folder is not removed: %s", e);
      }
    }
  }

  /** Response of a server. */
  static final class Response {
    int status;
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];

    String header(String name) {
      return headers.getOrDefault(name, "");
    }
  }

  /** Connection of a client. */
  static final class Connection implements AutoCloseable {
    final Socket socket = new Socket();
    final InputStream in;
    final OutputStream out;

    Connection(InetSocketAddress target) throws IOException {
      try {
        socket.setTcpNoDelay(true);
        socket.connect(target, 1_000);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
      } catch (IOException e) {
        socket.close();
        throw e;
      }
    }

    Response exchange(String method, String path, Map<String, String> headers, byte[] body, int timeoutMs)
        throws IOException {
      socket.setSoTimeout(timeoutMs);
      out.write(head(method, path, headers, body.length));
      out.write(body);
      out.flush();
      return read();
    }

    byte[] head(String method, String path, Map<String, String> headers, int length) {
      StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
      if (!headers.containsKey("Host")) {
        head.append("Host: ").append(text((InetSocketAddress) socket.getRemoteSocketAddress())).append("\r\n");
      }
      headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
      if (length >= 0 && !headers.containsKey("Transfer-Encoding") && !(method.equals("GET") && length == 0)) {
        head.append("Content-Length: ").append(length).append("\r\n");
      }
      return head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    Response read() throws IOException {
      return readResponse(in);
    }

    @Override
    public void close() {
      try {
        socket.close();
      } catch (IOException e) {
        // Of no further use.
      }
    }
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    while (true) {
      int next = in.read();
      if (next < 0) {
        throw new EOFException("closed");
      }
      if (next == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      line.write(next);
    }
  }

  static void readHeaders(InputStream in, Map<String, String> headers) throws IOException {
    for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
  }

  static byte[] readBody(InputStream in, Map<String, String> headers, boolean untilClose) throws IOException {
    if (headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      while (true) {
        int size = Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
        if (size == 0) {
          while (!readLine(in).isEmpty()) {
            // Trailers.
          }
          return body.toByteArray();
        }
        body.write(exactly(in, size));
        readLine(in);
      }
    }
    if (headers.containsKey("content-length")) {
      return exactly(in, Integer.parseInt(headers.get("content-length")));
    }
    return untilClose ? in.readAllBytes() : new byte[0];
  }

  private static byte[] exactly(InputStream in, int size) throws IOException {
    byte[] bytes = in.readNBytes(size);
    if (bytes.length < size) {
      throw new EOFException("closed inside a body");
    }
    return bytes;
  }

  static Response readResponse(InputStream in) throws IOException {
    Response response = new Response();
    String line = readLine(in);
    response.status = Integer.parseInt(line.split(" ")[1]);
    readHeaders(in, response.headers);
    response.body = readBody(in, response.headers, true);
    return response;
  }

  /** A request that reached an engine. */
  static final class Request {
    String method;
    String path;
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];

    String id() {
      return headers.getOrDefault("attempt-id", "");
    }
  }

  /** What an engine does with a request that it runs. */
  interface Work {
    /** Writes the response; returns whether the connection is kept. */
    boolean run(Engine engine, Request request, OutputStream out) throws Exception;
  }

  /** A sound engine, which announces itself as the pages say. */
  final class Engine implements AutoCloseable {
    final String id;
    final String service;
    final String zone;
    final InetSocketAddress address;
    final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final ServerSocket server;
    private final Work work;
    private final long bornMs = System.currentTimeMillis();
    private final AtomicInteger sequence = new AtomicInteger();
    private volatile boolean ended;
    volatile String state = "ready";
    private final int slots;
    private volatile int home = -1;
    private volatile boolean silent;

    Engine(String id, String service, String zone, String hostSuffix, int slots, Work work) throws IOException {
      this.id = id;
      this.service = service;
      this.zone = zone;
      this.work = work;
      this.slots = slots;
      server = new ServerSocket();
      server.bind(new InetSocketAddress(host(hostSuffix), 0), 500);
      address = (InetSocketAddress) server.getLocalSocketAddress();
      closeAtEnd(this);
      daemon(this::accept);
      daemon(this::announce);
    }

    private void announce() {
      int next = Math.floorMod(id.hashCode(), controls());
      while (!ended && !silent) {
        if (home >= 0) {
          next = home;
          home = -1;
        }
        String body =
            String.format(
                Locale.ROOT,
                "{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"%s\",\"Version\":\"v1\",\"Slots\":%d,\"State\":\"%s\",\"ColdLeftMs\":0,\"Sequence\":%d,\"born\":%d}",
                service, text(address), zone, slots, state, sequence.incrementAndGet(), bornMs);
        boolean acknowledged = false;
        for (int attempt = 0; attempt < controls() && !acknowledged; attempt++) {
          acknowledged = order(next, "/instances/" + id + "/heartbeat", body, 1_000) == 200;
          if (!acknowledged) {
            next = (next + 1) % controls();
          }
        }
        sleep(1_200);
      }
    }

    /** Lets the next heartbeats go to one node, until one fails there. */
    void announceTo(int vm) {
      home = vm;
    }

    /** Says that it leaves without reporting that it drains, and goes on to serve; returns the status of the response. */
    int leaveAt(int vm) {
      silent = true;
      return order(vm, "/instances/" + id + "/deregister", "{\"born\":" + bornMs + "}", 1_000);
    }

    private void accept() {
      while (!ended) {
        try {
          Socket socket = server.accept();
          daemon(() -> serve(socket));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        socket.setTcpNoDelay(true);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        boolean kept = true;
        while (kept) {
          Request request = new Request();
          String[] line = readLine(in).split(" ");
          request.method = line[0];
          request.path = line[1];
          readHeaders(in, request.headers);
          request.body = readBody(in, request.headers, false);
          if (request.path.equals("/healthz")) {
            out.write(("HTTP/1.1 200 OK\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            continue;
          }
          String expected = request.headers.getOrDefault("expected-instance", id);
          if (!expected.equals(id)) {
            log("engine %s: 421 to %s, which expects %s", id, request.id(), expected);
            out.write(response(421, request, new byte[0], "Not-Executed: 1\r\n"));
            continue;
          }
          runs.computeIfAbsent(request.id(), key -> new AtomicInteger()).incrementAndGet();
          kept = work.run(this, request, out);
        }
      } catch (Exception e) {
        // The connection ends.
      }
    }

    byte[] response(int status, Request request, byte[] body, String extra) {
      byte[] head =
          ("HTTP/1.1 " + status + " Status\r\nAttempt-Id: " + request.id() + "\r\n"
                  + (extra.contains("Not-Executed") ? "" : "Response-Signature: " + id + "." + request.id() + "\r\n")
                  + extra + "Content-Length: " + body.length + "\r\n\r\n")
              .getBytes(StandardCharsets.ISO_8859_1);
      byte[] all = Arrays.copyOf(head, head.length + body.length);
      System.arraycopy(body, 0, all, head.length, body.length);
      return all;
    }

    @Override
    public void close() throws IOException {
      ended = true;
      server.close();
    }
  }

  static void daemon(Runnable task) {
    Thread thread = new Thread(null, task, "stand-in", 256 * 1024);
    thread.setDaemon(true);
    thread.start();
  }
}
