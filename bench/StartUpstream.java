import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Upstream of bench/start: answers each request at once, with its attempt id and a load report. */
public final class StartUpstream {

  private StartUpstream() {}

  /** Listens on the address and port of the command line. */
  public static void main(String[] args) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(args[0], Integer.parseInt(args[1])), 0);
    byte[] body = "served".getBytes(StandardCharsets.UTF_8);
    server.createContext(
        "/",
        exchange -> {
          exchange.getRequestBody().readAllBytes();
          List<String> ids = exchange.getRequestHeaders().getOrDefault("Attempt-Id", List.of());
          exchange.getResponseHeaders().put("Attempt-Id", ids);
          exchange.getResponseHeaders().set("Instance-Load", "1,0,4");
          exchange.sendResponseHeaders(200, body.length);
          exchange.getResponseBody().write(body);
          exchange.close();
        });
    server.start();
  }
}
