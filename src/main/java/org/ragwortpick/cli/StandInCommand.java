package org.ragwortpick.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import org.kohsuke.args4j.Option;
import org.ragwortpick.common.Json;
import org.ragwortpick.common.MonotonicClock;
import org.ragwortpick.logging.LoggingSetup;
import org.ragwortpick.standin.StandInFile;
import org.ragwortpick.standin.StandInProcess;

/** Runs simulated upstreams for demonstrations and tests. */
public final class StandInCommand extends AbstractCommand {

  @Option(
      name = "--file",
      required = true,
      metaVar = "FILE",
      usage = "upstreams to simulate, JSON with comments")
  private Path file;

  /** Creates the command. */
  public StandInCommand() {
    super("run simulated upstreams for demonstrations and tests");
  }

  @Override
  public int run(PrintStream out, PrintStream err) {
    StandInFile content;
    try {
      content = Json.FILES.readValue(Files.readString(file), StandInFile.class);
    } catch (JsonProcessingException e) {
      err.println(CliMessages.unreadable(file.toString(), e.getOriginalMessage()));
      return ExitCode.INVALID_FILE;
    } catch (IOException e) {
      err.println(CliMessages.unreadable(file.toString(), e.toString()));
      return ExitCode.INVALID_FILE;
    }
    LoggingSetup.configure("INFO", file.getFileName().toString());
    StandInProcess process =
        new StandInProcess(content, new MonotonicClock(), Clock.systemUTC().millis());
    return ProcessShutdown.await(process);
  }
}
