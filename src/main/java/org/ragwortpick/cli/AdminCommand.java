package org.ragwortpick.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.Map;
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

  /**
   * Reads the current revision and sends a request that is based on it, so that a copy that is held
   * back on its way is refused after a later order.
   *
   * @param client client of the VM
   * @param path path of the request
   * @param body JSON body, to which the revision is added
   * @param out stream for results
   * @param err stream for error messages
   * @return exit code
   */
  protected final int postOnCurrentRevision(
      OperatorClient client, String path, ObjectNode body, PrintStream out, PrintStream err) {
    Optional<OperatorResponse> read = client.get("/admin/v1/configuration", Map.of());
    if (read.isEmpty() || read.get().isError()) {
      return printResponse(read, out, err);
    }
    try {
      body.put("baseRevision", Json.MESSAGES.readTree(read.get().body()).path("revision").asLong());
    } catch (JsonProcessingException e) {
      err.println("the VM returned a configuration that is no JSON: " + e.getOriginalMessage());
      return ExitCode.REFUSED;
    }
    return printResponse(client.post(path, body.toString()), out, err);
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
