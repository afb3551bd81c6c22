package org.ragwortpick.standin.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.Json;

/** Blocking HTTP client for JSON bodies. */
final class JsonHttpClient {

  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(15);

  private final HttpClient client;

  /**
   * Creates the client.
   *
   * @param client HTTP client
   */
  JsonHttpClient(HttpClient client) {
    this.client = client;
  }

  /**
   * Sends a GET request.
   *
   * @param address address of the server
   * @param path path
   * @return body of the response; a missing node if none arrived
   */
  JsonNode get(HostPort address, String path) {
    return send(HttpRequest.newBuilder(uri(address, path)).timeout(REQUEST_TIMEOUT).GET().build());
  }

  /**
   * Sends a POST request.
   *
   * @param address address of the server
   * @param path path
   * @param body JSON body
   * @return body of the response; a missing node if none arrived
   */
  JsonNode post(HostPort address, String path, String body) {
    return send(
        HttpRequest.newBuilder(uri(address, path))
            .timeout(REQUEST_TIMEOUT)
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build());
  }

  private static URI uri(HostPort address, String path) {
    return URI.create("http://" + address + path);
  }

  private JsonNode send(HttpRequest request) {
    try {
      String body = client.send(request, HttpResponse.BodyHandlers.ofString()).body();
      return Json.MESSAGES.readTree(body);
    } catch (IOException e) {
      return MissingNode.getInstance();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return MissingNode.getInstance();
    }
  }
}
