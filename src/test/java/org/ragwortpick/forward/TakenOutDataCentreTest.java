package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

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

  /** Takes the data centre of an upstream out after it was chosen; another one serves. */
  private void takeOutAfterChoice(RawUpstream local, RawUpstream other) throws Exception {
    server().announceIn("dc", "u1", local.address());
    server().announceIn("dc2", "u2", other.address());
    CompletableFuture<HttpResponse<String>> response = server().sendStaged("r1");
    server().produceStagesAndTakeOut("dc");
    assertEquals(response.get().statusCode(), 200);
  }

  @Test
  public void requestChosenBeforeTakeOutIsSentToAnotherDataCentre() throws Exception {
    try (RawUpstream local = upstream();
        RawUpstream other = upstream()) {
      takeOutAfterChoice(local, other);
      assertEquals(local.workRequests(), 0);
      assertEquals(other.workRequests(), 1);
    }
  }

  @Test
  public void requestWithoutAnotherDataCentreIsRefusedAsNotRun() throws Exception {
    try (RawUpstream local = upstream()) {
      server().announceIn("dc", "u1", local.address());
      CompletableFuture<HttpResponse<String>> response = server().sendStaged("r1");
      server().produceStagesAndTakeOut("dc");
      assertEquals(response.get().statusCode(), 503);
      assertTrue(response.get().headers().firstValue("Retry-After").isPresent());
      assertEquals(local.workRequests(), 0);
    }
  }

  @Test
  public void upstreamThatWasNotAskedAfterTakeOutDoesNotCountAsUnreachable() throws Exception {
    try (RawUpstream local = upstream();
        RawUpstream other = upstream()) {
      takeOutAfterChoice(local, other);
      server().returnDataCentres();
      assertEquals(server().post("/safe/x", "r2").statusCode(), 200);
      assertEquals(local.workRequests(), 1);
    }
  }
}
