package org.ragwortpick.cli;

import java.io.PrintStream;
import java.net.http.HttpClient;
import java.time.Clock;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.kohsuke.args4j.Option;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.MonotonicClock;
import org.ragwortpick.standin.load.Caller;
import org.ragwortpick.standin.load.LoadPlan;
import org.ragwortpick.standin.load.LoadResults;
import org.ragwortpick.standin.load.LoadRun;

/** Sends requests to a running deployment on a fixed schedule and prints the outcomes. */
public final class LoadCommand extends AbstractCommand {

  private static final int TIMER_THREADS = 4;
  private static final int CALLER_COUNT = 32;

  @Option(
      name = "--callers",
      required = true,
      metaVar = "IP:PORT,...",
      usage = "caller addresses that are contacted first")
  private String addresses;

  @Option(
      name = "--pipelines",
      required = true,
      metaVar = "NAME,...",
      usage = "pipelines to request")
  private String pipelines;

  @Option(
      name = "--services",
      metaVar = "NAME,...",
      usage = "services of non-idempotent calls; none if absent")
  private String services = "";

  @Option(
      name = "--workspaces",
      required = true,
      metaVar = "NAME,...",
      usage = "workspaces of the callers")
  private String workspaces;

  @Option(name = "--rate", metaVar = "N", usage = "requests per second; 40 if absent")
  private int requestsPerSecond = 40;

  @Option(name = "--seconds", metaVar = "N", usage = "duration in seconds; 30 if absent")
  private int durationSeconds = 30;

  @Option(name = "--deadline-ms", metaVar = "N", usage = "deadline in ms; 3000 if absent")
  private long deadlineMs = 3_000;

  @Option(
      name = "--call-every",
      metaVar = "N",
      usage = "one of N requests is non-idempotent; 4 if absent")
  private int callEvery = 4;

  @Option(name = "--tokens", metaVar = "N", usage = "tokens of each response; 24 if absent")
  private int maxTokens = 24;

  @Option(
      name = "--harmful-every",
      metaVar = "N",
      usage = "one of N requests ends stand-ins with the fault \"harmful\"; none if absent")
  private int harmfulEvery;

  /** Creates the command. */
  public LoadCommand() {
    super("send requests to a running deployment on a fixed schedule");
  }

  @Override
  public int run(PrintStream out, PrintStream err) {
    if (requestsPerSecond < 1 || durationSeconds < 1 || deadlineMs < 1 || callEvery < 1) {
      err.println("rate, seconds, deadline-ms and call-every must be 1 or more");
      return ExitCode.USAGE;
    }
    ScheduledExecutorService executor = Executors.newScheduledThreadPool(TIMER_THREADS);
    try {
      Clock clock = new MonotonicClock();
      String runId = "load-" + Clock.systemUTC().millis();
      LoadResults results =
          new LoadRun(plan(), callers(clock), clock, executor, runId).start().get();
      print(results, out);
      return results.countOf("wrong answers") == 0 ? ExitCode.OK : ExitCode.REFUSED;
    } catch (IllegalArgumentException e) {
      err.println(e.getMessage());
      return ExitCode.USAGE;
    } catch (ExecutionException e) {
      err.println(e.getCause().getMessage());
      return ExitCode.INTERNAL;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCode.INTERNAL;
    } finally {
      executor.shutdownNow();
    }
  }

  private LoadPlan plan() {
    return new LoadPlan(
        requestsPerSecond,
        durationSeconds * 1_000L,
        deadlineMs,
        splitNames(pipelines),
        splitNames(services),
        splitNames(workspaces),
        callEvery,
        maxTokens,
        harmfulEvery);
  }

  private List<Caller> callers(Clock clock) {
    HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    List<HostPort> bootstrap = splitNames(addresses).stream().map(HostPort::parse).toList();
    List<Caller> callers = new ArrayList<>();
    for (int i = 0; i < CALLER_COUNT; i++) {
      callers.add(new Caller(client, clock, bootstrap, i));
    }
    return callers;
  }

  private static void print(LoadResults results, PrintStream out) {
    results.counts().forEach((name, count) -> out.printf("%-32s %d%n", name, count));
    for (double percentile : new double[] {50, 95, 99}) {
      out.printf("latency p%-23.0f %d ms%n", percentile, results.latencyMs(percentile));
    }
  }

  private static List<String> splitNames(String list) {
    return list.isEmpty() ? List.of() : Arrays.asList(list.split(","));
  }
}
