package org.ragwortpick.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.UUID;
import org.kohsuke.args4j.Option;
import org.ragwortpick.common.Json;

/** Proposes an inventory, rules or both, based on a revision of the configuration. */
public final class ProposeCommand extends AdminCommand {

  @Option(
      name = "--revision",
      required = true,
      metaVar = "N",
      usage = "revision on which the files are based, see the command configuration")
  private long revision;

  @Option(name = "--inventory", metaVar = "FILE", usage = "inventory, JSON with comments")
  private Path inventory;

  @Option(name = "--rules", metaVar = "FILE", usage = "rules, JSON with comments")
  private Path rules;

  @Option(
      name = "--request-id",
      metaVar = "ID",
      usage = "id of this request; reuse it to retry after a lost response")
  private String requestId = UUID.randomUUID().toString();

  /** Creates the command. */
  public ProposeCommand() {
    super("propose an inventory, rules or both, based on a revision");
  }

  @Override
  protected int call(OperatorClient client, PrintStream out, PrintStream err) {
    ObjectNode body = Json.MESSAGES.createObjectNode();
    body.put("requestId", requestId);
    body.put("baseRevision", revision);
    if (!putDocument(body, "inventory", inventory, err)
        || !putDocument(body, "rules", rules, err)) {
      return ExitCode.INVALID_FILE;
    }
    return printResponse(client.post("/admin/v1/configuration", body.toString()), out, err);
  }

  private static boolean putDocument(ObjectNode body, String key, Path file, PrintStream err) {
    if (file == null) {
      return true;
    }
    try {
      JsonNode content = Json.FILES.readTree(Files.readString(file));
      body.set(key, content);
      return true;
    } catch (IOException e) {
      err.println(CliMessages.unreadable(file.toString(), firstMessageLine(e)));
      return false;
    }
  }

  private static String firstMessageLine(IOException e) {
    return e.getClass().getSimpleName()
        + ": "
        + String.valueOf(e.getMessage()).lines().findFirst().orElse("");
  }
}
