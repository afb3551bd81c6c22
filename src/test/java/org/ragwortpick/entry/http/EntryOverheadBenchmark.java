package org.ragwortpick.entry.http;

import com.sun.management.OperatingSystemMXBean;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.lang.management.ManagementFactory;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import org.HdrHistogram.Histogram;
import org.ragwortpick.common.HostPort;
import org.testng.annotations.Test;

/**
 * Measures the latency that an entry VM adds to a direct call on loopback. Surefire runs it only if
 * it is named: {@code mvn -B -o test -Dtest=EntryOverheadBenchmark}.
 */
public final class EntryOverheadBenchmark {

  private static final int WARM_UP_CALLS = 20_000;
  private static final int CALLS_PER_ROUND = 4_000;
  private static final int ROUNDS = 5;
  private static final Clock CLOCK = Clock.systemUTC();

  @Test
  public void serviceCallComparedWithDirectCall() throws Exception {
    try (EntryTestServer entry = new EntryTestServer()) {
      HostPort upstream =
          entry.upstream("stock-1", "stock", TestUpstreams.responding(200, "{\"left\":4}"));
      try (Connection direct = new Connection(upstream, "/v1/execute");
          Connection viaEntry = new Connection(entry.server().address(), "/v1/services/stock")) {
        run(direct, WARM_UP_CALLS, new Histogram(3));
        run(viaEntry, WARM_UP_CALLS, new Histogram(3));
        for (int round = 1; round <= ROUNDS; round++) {
          measure("direct", round, direct);
          measure("entry ", round, viaEntry);
        }
      }
    }
  }

  private static void measure(String name, int round, Connection connection) throws IOException {
    OperatingSystemMXBean system =
        (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    Histogram micros = new Histogram(3);
    long cpuBefore = system.getProcessCpuTime();
    run(connection, CALLS_PER_ROUND, micros);
    long cpuMicros = (system.getProcessCpuTime() - cpuBefore) / 1_000 / CALLS_PER_ROUND;
    System.out.printf(
        "%s round %d: p50 %d us, p95 %d us, p99 %d us, processor time of all sides %d us/call%n",
        name,
        round,
        micros.getValueAtPercentile(50),
        micros.getValueAtPercentile(95),
        micros.getValueAtPercentile(99),
        cpuMicros);
  }

  private static void run(Connection connection, int calls, Histogram micros) throws IOException {
    for (int i = 0; i < calls; i++) {
      Instant start = CLOCK.instant();
      connection.call();
      micros.recordValue(Duration.between(start, CLOCK.instant()).toNanos() / 1_000);
    }
  }

  private static final class Connection implements AutoCloseable {

    private static final String BODY = "{\"item\":1}";
    private static final String END = "{\"left\":4}";

    private final Socket socket;
    private final byte[] request;
    private final byte[] buffer = new byte[4_096];

    private Connection(HostPort address, String path) throws IOException {
      socket = new Socket(address.host(), address.port());
      socket.setTcpNoDelay(true);
      String head =
          "POST "
              + path
              + " HTTP/1.1\r\nHost: x\r\nWorkspace: w1\r\nDeadline-Ms: 3000\r\nRequest-Id: r\r\n"
              + "Stage: call\r\nAttempt: 1\r\nContent-Length: ";
      request = (head + BODY.length() + "\r\n\r\n" + BODY).getBytes(StandardCharsets.US_ASCII);
    }

    private void call() throws IOException {
      socket.getOutputStream().write(request);
      InputStream in = socket.getInputStream();
      ByteArrayOutputStream response = new ByteArrayOutputStream();
      while (!response.toString(StandardCharsets.US_ASCII).endsWith(END)) {
        int count = in.read(buffer);
        if (count < 0) {
          throw new IOException("the connection was closed: " + response);
        }
        response.write(buffer, 0, count);
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }
}
