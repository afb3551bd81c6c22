package org.ragwortpick.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.kohsuke.args4j.Option;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.Json;
import org.ragwortpick.common.MonotonicClock;
import org.ragwortpick.standin.StandInFile;
import org.ragwortpick.standin.UpstreamSpec;
import org.ragwortpick.standin.demo.Demonstration;
import org.ragwortpick.standin.demo.DemonstrationPlan;
import org.ragwortpick.standin.demo.DemonstrationResult;
import org.ragwortpick.standin.load.LoadPlan;

/** Runs the demonstration of the quick start against a running deployment. */
public final class DemonstrateCommand extends AbstractCommand {

  private static final int TIMER_THREADS = 4;
  private static final long DEADLINE_MS = 3_000;

  /** One of this many requests is a non-idempotent call, the others run a pipeline. */
  private static final int REQUESTS_PER_CALL = 4;

  private static final int MAX_TOKENS = 24;

  @Option(
      name = "--callers",
      required = true,
      metaVar = "IP:PORT,...",
      usage = "caller addresses of entry VMs")
  private String callers;

  @Option(
      name = "--admin",
      required = true,
      metaVar = "IP:PORT",
      usage = "administration address of any VM")
  private String admin;

  @Option(
      name = "--stand-ins",
      required = true,
      metaVar = "FILE,...",
      usage = "stand-in files of the running upstreams")
  private String standIns;

  @Option(
      name = "--data-centre",
      required = true,
      metaVar = "NAME",
      usage = "data centre to take out and to return")
  private String dataCentre;

  @Option(
      name = "--pipelines",
      required = true,
      metaVar = "NAME,...",
      usage = "pipelines to request")
  private String pipelines;

  @Option(
      name = "--services",
      required = true,
      metaVar = "NAME,...",
      usage = "services of non-idempotent calls")
  private String services;

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

  /** Creates the command. */
  public DemonstrateCommand() {
    super("send requests to a running deployment while a data centre is taken out and returned");
  }

  @Override
  public int run(PrintStream out, PrintStream err) {
    ScheduledExecutorService executor = Executors.newScheduledThreadPool(TIMER_THREADS);
    try {
      DemonstrationResult result = new Demonstration(plan(), new MonotonicClock(), executor).run();
      result.print(out);
      result.violations().forEach(text -> err.println("guarantee violated: " + text));
      return result.violations().isEmpty() ? ExitCode.OK : ExitCode.REFUSED;
    } catch (IllegalArgumentException | IOException e) {
      err.println(e.getMessage());
      return ExitCode.INVALID_FILE;
    } catch (ExecutionException e) {
      err.println(e.getCause().getMessage());
      return ExitCode.REFUSED;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCode.INTERNAL;
    } finally {
      executor.shutdownNow();
    }
  }

  private DemonstrationPlan plan() throws IOException {
    List<UpstreamSpec> upstreams = new ArrayList<>();
    for (String file : splitNames(standIns)) {
      String text = Files.readString(Path.of(file));
      upstreams.addAll(Json.FILES.readValue(text, StandInFile.class).upstreams());
    }
    return new DemonstrationPlan(
        splitNames(callers).stream().map(HostPort::parse).toList(),
        HostPort.parse(admin),
        upstreams,
        dataCentre,
        splitNames(services).get(0),
        new LoadPlan(
            requestsPerSecond,
            durationSeconds * 1_000L,
            DEADLINE_MS,
            splitNames(pipelines),
            splitNames(services),
            splitNames(workspaces),
            REQUESTS_PER_CALL,
            MAX_TOKENS,
            0));
  }

  private static List<String> splitNames(String list) {
    return Arrays.asList(list.split(","));
  }
}
