package org.ragwortpick.cli;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.ragwortpick.common.HostPort;

/** HTTP client of the operator commands. */
final class OperatorClient {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(20);

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(CONNECT_TIMEOUT)
          .build();
  private final HostPort address;

  /**
   * Creates a client.
   *
   * @param address address of the VM
   */
  OperatorClient(HostPort address) {
    this.address = address;
  }

  /**
   * Sends a GET request.
   *
   * @param path path with query
   * @param headers headers by name
   * @return the response, or empty if none was received
   */
  Optional<OperatorResponse> get(String path, Map<String, String> headers) {
    HttpRequest.Builder request = builder(path).GET();
    headers.forEach(request::header);
    return send(request.build());
  }

  /**
   * Sends a POST request.
   *
   * @param path path with query
   * @param body JSON body
   * @return the response, or empty if none was received
   */
  Optional<OperatorResponse> post(String path, String body) {
    return send(
        builder(path)
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build());
  }

  private HttpRequest.Builder builder(String path) {
    return HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(REQUEST_TIMEOUT);
  }

  private Optional<OperatorResponse> send(HttpRequest request) {
    try {
      HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
      return Optional.of(new OperatorResponse(response.statusCode(), response.body()));
    } catch (IOException e) {
      return Optional.empty();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    }
  }
}
