package org.ragwortpick.entry.http;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Sends requests of tests, and fails where no response comes, in place of waiting for ever. */
public final class BoundedSend {

  /** Longer than any request of a test may take on a busy machine. */
  private static final long TIMEOUT_MS = 60_000;

  private BoundedSend() {}

  /** Sends a request and waits for its response. */
  public static HttpResponse<String> send(HttpClient client, HttpRequest request)
      throws IOException, InterruptedException {
    CompletableFuture<HttpResponse<String>> response =
        client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    try {
      return response.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      throw new AssertionError(
          "no response within " + TIMEOUT_MS + " ms to " + request + " with " + request.headers(),
          e);
    } catch (ExecutionException e) {
      throw new IOException(e.getCause());
    }
  }
}
