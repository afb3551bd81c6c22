package org.ragwortpick.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.Optional;
import org.kohsuke.args4j.Option;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.Json;

/** Base of the operator commands that call the administration API of a VM. */
abstract class AdminCommand extends AbstractCommand {

  @Option(
      name = "--admin",
      required = true,
      metaVar = "IP:PORT",
      usage = "administration address of any VM")
  private String admin;

  /**
   * Creates the command.
   *
   * @param description one line that says what the command does
   */
  protected AdminCommand(String description) {
    super(description);
  }

  @Override
  public final int run(PrintStream out, PrintStream err) {
    HostPort address;
    try {
      address = HostPort.parse(admin);
    } catch (IllegalArgumentException e) {
      err.println(e.getMessage());
      return ExitCode.USAGE;
    }
    return call(new OperatorClient(address), out, err);
  }

  /**
   * Calls the administration API.
   *
   * @param client client of the VM
   * @param out stream for results
   * @param err stream for error messages
   * @return exit code
   */
  protected abstract int call(OperatorClient client, PrintStream out, PrintStream err);

  /**
   * Prints a response, errors to the error stream, and derives the exit code from it.
   *
   * @param response response of the VM; empty if none was received
   * @param out stream for results
   * @param err stream for error messages
   * @return exit code
   */
  protected final int printResponse(
      Optional<OperatorResponse> response, PrintStream out, PrintStream err) {
    if (response.isEmpty()) {
      err.println(CliMessages.unreachable(admin));
      return ExitCode.UNREACHABLE;
    }
    (response.get().isError() ? err : out).println(prettyPrinted(response.get().body()));
    return response.get().isError() ? ExitCode.REFUSED : ExitCode.OK;
  }

  private static String prettyPrinted(String body) {
    try {
      JsonNode node = Json.MESSAGES.readTree(body);
      return Json.MESSAGES.writerWithDefaultPrettyPrinter().writeValueAsString(node);
    } catch (JsonProcessingException e) {
      return body;
    }
  }
}
