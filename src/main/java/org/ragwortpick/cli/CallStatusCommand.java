package org.ragwortpick.cli;

import java.io.PrintStream;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.ragwortpick.common.HostPort;

/** Shows the recorded outcome of a non-idempotent call. */
public final class CallStatusCommand extends AbstractCommand {

  @Option(name = "--caller", required = true, metaVar = "IP:PORT", usage = "caller address of a VM")
  private String caller;

  @Option(name = "--workspace", required = true, metaVar = "NAME", usage = "workspace of the call")
  private String workspace;

  @Argument(required = true, metaVar = "KEY", usage = "idempotency key of the call")
  private String key;

  /** Creates the command. */
  public CallStatusCommand() {
    super("show whether a non-idempotent call was executed");
  }

  @Override
  public int run(PrintStream out, PrintStream err) {
    HostPort address;
    try {
      address = HostPort.parse(caller);
    } catch (IllegalArgumentException e) {
      err.println(e.getMessage());
      return ExitCode.USAGE;
    }
    String path = "/v1/calls/" + URLEncoder.encode(key, StandardCharsets.UTF_8);
    Optional<OperatorResponse> response =
        new OperatorClient(address).get(path, Map.of("Workspace", workspace));
    if (response.isEmpty()) {
      err.println(CliMessages.unreachable(caller));
      return ExitCode.UNREACHABLE;
    }
    (response.get().isError() ? err : out).println(response.get().body());
    return response.get().isError() ? ExitCode.REFUSED : ExitCode.OK;
  }
}
