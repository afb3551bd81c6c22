package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import org.ragwortpick.entry.http.RawUpstream;
import org.testng.annotations.Test;

/**
 * Guards against a request that is chosen before its data centre is taken out and sent after it.
 */
public final class TakenOutDataCentreTest extends ForwardServerFixture {

  private static RawUpstream upstream() throws Exception {
    return new RawUpstream((c, r, request) -> RawUpstream.response(request, "", "done"));
  }

  private CompletableFuture<HttpResponse<String>> sendStaged() throws Exception {
    HttpRequest request =
        server()
            .request("/staged/x", "r1")
            .header("Parts", "1")
            .POST(HttpRequest.BodyPublishers.ofString("body"))
            .build();
    CompletableFuture<HttpResponse<String>> response = server().sendAsync(request);
    for (int i = 0; i < 200 && server().submittedStages() == 0; i++) {
      pause(5);
    }
    return response;
  }

  @Test
  public void requestChosenBeforeTakeOutIsSentToAnotherDataCentre() throws Exception {
    try (RawUpstream local = upstream();
        RawUpstream other = upstream()) {
      server().announceIn("dc", "u1", local.address());
      server().announceIn("dc2", "u2", other.address());
      CompletableFuture<HttpResponse<String>> response = sendStaged();
      server().produceStagesAndTakeOut("dc");
      assertEquals(response.get().statusCode(), 200);
      assertEquals(local.workRequests(), 0);
      assertEquals(other.workRequests(), 1);
    }
  }

  @Test
  public void requestWithoutAnotherDataCentreIsRefusedAsNotRun() throws Exception {
    try (RawUpstream local = upstream()) {
      server().announceIn("dc", "u1", local.address());
      CompletableFuture<HttpResponse<String>> response = sendStaged();
      server().produceStagesAndTakeOut("dc");
      assertEquals(response.get().statusCode(), 503);
      assertTrue(response.get().headers().firstValue("Retry-After").isPresent());
      assertEquals(local.workRequests(), 0);
    }
  }
}
