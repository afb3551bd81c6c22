package org.ragwortpick.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.UUID;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.ragwortpick.common.Json;

/** Returns a data centre to service. */
public final class ReturnCommand extends AdminCommand {

  @Argument(required = true, metaVar = "DATA_CENTRE", usage = "name of the data centre")
  private String dataCentre;

  @Option(
      name = "--request-id",
      metaVar = "ID",
      usage = "id of this request; reuse it to retry after a lost response")
  private String requestId = UUID.randomUUID().toString();

  /** Creates the command. */
  public ReturnCommand() {
    super("return a data centre to service");
  }

  @Override
  protected int call(OperatorClient client, PrintStream out, PrintStream err) {
    ObjectNode body = Json.MESSAGES.createObjectNode();
    body.put("requestId", requestId);
    return postOnCurrentRevision(
        client, "/admin/v1/data-centres/" + dataCentre + "/return", body, out, err);
  }
}
