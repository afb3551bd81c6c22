package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.ragwortpick.entry.http.RawUpstream;
import org.ragwortpick.logging.RecordedLines;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against streams that go on at another version than the one that began them. */
public final class StreamTakeUpTest extends ForwardServerFixture {

  private static final int TAKE_UPS = 20;
  private static final String EVENTS = "Content-Type: text/event-stream\r\n";

  /** Longer than a VM must have seen a single version of a service to conclude it. */
  private static final long LONG_MS = 70_000;

  private static final long SHORT_MS = 50_000;
  private static final long OLD_VIEW_MS = 5_000;

  private static RawUpstream upstream() throws Exception {
    return new RawUpstream((c, r, request) -> answer(request));
  }

  private static String answer(Map<String, String> request) {
    return RawUpstream.response(request, EVENTS, "data: a\n\n");
  }

  private static String failure(Map<String, String> request, String headers) {
    return "HTTP/1.1 500 Failed\r\nRequest-Id: "
        + request.get("request-id")
        + "\r\n"
        + headers
        + "Content-Length: 0\r\n\r\n";
  }

  private HttpRequest.Builder takeUp(String path, String id, String resumedId) {
    return server().request(path, id).header("Continues", resumedId).header("Last-Seen-Event", "7");
  }

  private HttpResponse<String> sendTakeUp(String id, String resumedId) throws Exception {
    return server().send(takeUp("/resumable/x", id, resumedId).build());
  }

  private CompletableFuture<HttpResponse<String>> sendStagedTakeUp(String id, String resumedId)
      throws Exception {
    return server()
        .sendStaged(takeUp("/resumableStaged/x", id, resumedId).header("Parts", "1").build());
  }

  /** Begins the stream {@code first} at an upstream of version a, and then announces version b. */
  private void beginAtVersionA(RawUpstream a, RawUpstream b) throws Exception {
    server().upstreams().announceVersion("a", "u1", a.address());
    assertEquals(server().post("/resumable/x", "first").statusCode(), 200);
    server().upstreams().announceLargeVersion("b", "u2", b.address());
  }

  private static void assertCannotGoOn(HttpResponse<String> response) {
    assertEquals(response.statusCode(), 503);
    assertTrue(response.body().contains("stream_cannot_go_on"), response.body());
    assertFalse(response.headers().firstValue("Retry-After").isPresent());
  }

  @Test
  public void streamGoesOnAtTheVersionThatBeganItThoughAnotherIsPreferred() throws Exception {
    try (RawUpstream a = upstream();
        RawUpstream b = upstream()) {
      beginAtVersionA(a, b);
      for (int i = 0; i < TAKE_UPS; i++) {
        assertEquals(sendTakeUp("r" + i, "first").statusCode(), 200);
      }
      assertEquals(b.workRequests(), 0, "take-ups at the other version");
      assertEquals(a.workRequests(), 1 + TAKE_UPS);
    }
  }

  @Test
  public void streamGoesOnAtColdAndDistantUpstreamIfItIsTheOnlyOneOfItsVersion() throws Exception {
    try (RawUpstream a = upstream();
        RawUpstream b = upstream()) {
      beginAtVersionA(a, b);
      server().upstreams().announceColdVersion("a", "u1", a.address());
      assertEquals(sendTakeUp("r1", "first").statusCode(), 200);
      assertEquals(b.workRequests(), 0);
    }
  }

  @Test
  public void lineOfTakeUpTellsHowItsVersionWasFound() throws Exception {
    try (RawUpstream a = upstream();
        RawUpstream b = upstream();
        RecordedLines recorded = new RecordedLines(RequestLog.class.getName(), "request ended")) {
      beginAtVersionA(a, b);
      sendTakeUp("r1", "first");
      sendTakeUp("r2", "unknown");
      for (int i = 0; i < 200 && recorded.lines().size() < 3; i++) {
        pause(5);
      }
      Map<String, Object> known = recorded.lines().get(1);
      assertEquals(known.get("lookUp"), "OWN");
      assertEquals(known.get("requiredVersion"), "a");
      assertEquals(known.get("version"), "a");
      Map<String, Object> unknown = recorded.lines().get(2);
      assertEquals(unknown.get("lookUp"), "UNKNOWN");
      assertEquals(unknown.get("requiredVersion"), "-");
      assertEquals(unknown.get("end"), "stream_version_unknown");
    }
  }

  @Test
  public void takeUpOfTakeUpNamesTheFirstRequestOrTheOneBefore() throws Exception {
    try (RawUpstream a = upstream();
        RawUpstream b = upstream()) {
      beginAtVersionA(a, b);
      assertEquals(sendTakeUp("second", "first").statusCode(), 200);
      assertEquals(server().streams().origins().versionOf("second"), Optional.of("a"));
      assertEquals(sendTakeUp("third", "first").statusCode(), 200);
      assertEquals(sendTakeUp("fourth", "second").statusCode(), 200);
      assertEquals(b.workRequests(), 0);
    }
  }

  @Test
  public void twoTakeUpsAtOnceGoOnAtTheSameVersion() throws Exception {
    try (RawUpstream a = upstream();
        RawUpstream b = upstream()) {
      beginAtVersionA(a, b);
      server().streams().origins().deferLookUps();
      var one = server().sendAsync(takeUp("/resumable/x", "r1", "first").build());
      var other = server().sendAsync(takeUp("/resumable/x", "r2", "first").build());
      for (int ended = 0; ended < 2; ended += server().streams().origins().endLookUps()) {
        pause(5);
      }
      assertEquals(one.get().statusCode(), 200);
      assertEquals(other.get().statusCode(), 200);
      assertEquals(a.workRequests(), 3);
      assertEquals(b.workRequests(), 0);
    }
  }

  @DataProvider
  public static Object[][] failures() {
    return new Object[][] {{"Untouched: 1\r\n"}, {""}, {RawUpstream.RESET}};
  }

  @Test(dataProvider = "failures")
  public void repeatOfTakeUpStaysAtItsVersion(String failure) throws Exception {
    try (RawUpstream a = upstream();
        RawUpstream b = upstream();
        RawUpstream failing = new RawUpstream((c, r, request) -> failure(request, failure))) {
      beginAtVersionA(a, b);
      server().upstreams().announceLargeVersion("a", "u3", failing.address());
      for (int i = 0; i < TAKE_UPS; i++) {
        sendTakeUp("r" + i, "first");
      }
      assertTrue(failing.workRequests() > 0);
      assertEquals(b.workRequests(), 0);
    }
  }

  /** Otherwise the record of its version would be wrong for one of the two. */
  @Test(dataProvider = "failures")
  public void repeatOfNewStreamStaysAtItsVersion(String failure) throws Exception {
    try (RawUpstream b = upstream();
        RawUpstream failing =
            new RawUpstream(
                (c, r, request) -> {
                  server().upstreams().announceLargeVersion("b", "u2", b.address());
                  return failure(request, failure);
                })) {
      server().upstreams().announceVersion("a", "u1", failing.address());
      server().post("/resumable/x", "first");
      assertEquals(failing.workRequests(), 1);
      assertEquals(b.workRequests(), 0);
      assertEquals(server().streams().origins().versionOf("first"), Optional.of("a"));
    }
  }

  @Test
  public void unknownStreamIsRefusedWhileThereAreTwoVersions() throws Exception {
    try (RawUpstream a = upstream();
        RawUpstream b = upstream()) {
      beginAtVersionA(a, b);
      server().seeVersionsFor(LONG_MS);
      assertCannotGoOn(sendTakeUp("r1", "unknown"));
      assertEquals(a.workRequests() + b.workRequests(), 1);
    }
  }

  @Test
  public void unknownStreamGoesOnAtTheOnlyVersionOfALongTime() throws Exception {
    try (RawUpstream a = upstream()) {
      server().upstreams().announceVersion("a", "u1", a.address());
      server().seeVersionsFor(SHORT_MS);
      assertCannotGoOn(sendTakeUp("r1", "unknown"));
      server().seeVersionsFor(LONG_MS - SHORT_MS);
      assertEquals(sendTakeUp("r2", "unknown").statusCode(), 200);
    }
  }

  /** The only version of a long time is replaced while the request waits for its stage. */
  @Test
  public void unknownStreamDoesNotGoOnAtAVersionThatIsAnnouncedAfterItsLookUp() throws Exception {
    try (RawUpstream a = upstream();
        RawUpstream b = upstream()) {
      server().upstreams().announceVersion("a", "u1", a.address());
      server().seeVersionsFor(LONG_MS);
      var response = sendStagedTakeUp("r1", "unknown");
      server().upstreams().announceLargeVersion("b", "u2", b.address());
      server().produceStages();
      assertEquals(response.get().statusCode(), 200);
      assertEquals(b.workRequests(), 0);
    }
  }

  @Test
  public void streamWhoseFirstRequestIsNotNamedIsTreatedAsUnknown() throws Exception {
    try (RawUpstream a = upstream();
        RawUpstream b = upstream()) {
      beginAtVersionA(a, b);
      HttpRequest request =
          server().request("/resumable/x", "r1").header("Last-Seen-Event", "7").build();
      assertCannotGoOn(server().send(request));
      assertEquals(server().streams().origins().lookUps(), 0);
    }
  }

  @Test
  public void streamIsRefusedAtOnceIfNoUpstreamOfItsVersionIsLeft() throws Exception {
    try (RawUpstream a = upstream();
        RawUpstream b = upstream()) {
      beginAtVersionA(a, b);
      server().withdraw("u1");
      assertCannotGoOn(sendTakeUp("r1", "first"));
      assertEquals(b.workRequests(), 0);
      assertEquals(server().count("ragwortpick_forward_take_ups", "stream_version_gone"), 1.0);
    }
  }

  @Test
  public void streamWaitsForThePausedUpstreamOfItsVersion() throws Exception {
    try (RawUpstream a = upstream();
        RawUpstream b = upstream()) {
      beginAtVersionA(a, b);
      server().requestPause("u1");
      HttpResponse<String> response = sendTakeUp("r1", "first");
      assertEquals(response.statusCode(), 503);
      assertTrue(response.headers().firstValue("Retry-After").isPresent());
      assertEquals(b.workRequests(), 0);
    }
  }

  @Test
  public void upstreamThatAnnouncesAnotherVersionAfterTheChoiceIsNotUsed() throws Exception {
    try (RawUpstream a = upstream();
        RawUpstream b = upstream()) {
      beginAtVersionA(a, b);
      var response = sendStagedTakeUp("r1", "first");
      server()
          .produceStagesAndBeforeWrite(
              () -> server().upstreams().announceVersion("b", "u1", a.address()));
      assertCannotGoOn(response.get());
      assertEquals(a.workRequests() + b.workRequests(), 1);
    }
  }

  @Test
  public void unknownVersionEndsARunningStageAtOnce() throws Exception {
    try (RawUpstream a = upstream();
        RawUpstream b = upstream()) {
      beginAtVersionA(a, b);
      server().streams().origins().deferLookUps();
      var response = sendStagedTakeUp("r1", "unknown");
      assertEquals(server().submittedStages(), 1);
      assertEquals(server().streams().origins().endLookUps(), 1);
      assertCannotGoOn(response.get());
      assertEquals(server().abandonedStages(), 1);
    }
  }

  /** The stages are shorter than the pause, so that their work would be lost. */
  @Test
  public void pauseOfTheVersionEndsARunningStageAtOnce() throws Exception {
    try (RawUpstream a = upstream();
        RawUpstream b = upstream()) {
      beginAtVersionA(a, b);
      server().requestPause("u1");
      server().streams().origins().deferLookUps();
      var response = sendStagedTakeUp("r1", "first");
      assertEquals(server().submittedStages(), 1);
      server().streams().origins().endLookUps();
      assertEquals(response.get().statusCode(), 503);
      assertTrue(response.get().headers().firstValue("Retry-After").isPresent());
      assertEquals(server().abandonedStages(), 1);
    }
  }

  @Test
  public void stageIsNotBegunIfTheStreamCannotGoOn() throws Exception {
    try (RawUpstream a = upstream();
        RawUpstream b = upstream()) {
      beginAtVersionA(a, b);
      HttpRequest request =
          takeUp("/resumableStaged/x", "r1", "unknown").header("Parts", "1").build();
      assertCannotGoOn(server().send(request));
      assertEquals(server().submittedStages(), 0);
    }
  }

  @Test
  public void stagesThatEndBeforeTheLookUpWaitForIt() throws Exception {
    try (RawUpstream a = upstream();
        RawUpstream b = upstream()) {
      beginAtVersionA(a, b);
      server().streams().origins().deferLookUps();
      var response = sendStagedTakeUp("r1", "first");
      server().produceStages();
      pause(50);
      assertEquals(a.workRequests() + b.workRequests(), 1);
      assertEquals(server().streams().origins().endLookUps(), 1);
      assertEquals(response.get().statusCode(), 200);
      assertEquals(a.workRequests(), 2);
    }
  }

  @Test
  public void vmWithAnOldViewNeitherTakesUpNorRecordsStreams() throws Exception {
    try (RawUpstream a = upstream();
        RawUpstream b = upstream()) {
      beginAtVersionA(a, b);
      server().streams().setViewAge(OLD_VIEW_MS);
      HttpResponse<String> response = sendTakeUp("r1", "first");
      assertEquals(response.statusCode(), 503);
      assertTrue(response.body().contains("stream_view_outdated"), response.body());
      assertEquals(server().post("/resumable/x", "second").statusCode(), 200);
      assertEquals(server().streams().origins().versionOf("second"), Optional.empty());
      assertEquals(a.workRequests() + b.workRequests(), 2);
    }
  }

  @Test
  public void otherRequestsNeitherLookUpNorWait() throws Exception {
    try (RawUpstream a = upstream();
        RawUpstream b = upstream()) {
      beginAtVersionA(a, b);
      server().streams().origins().deferLookUps();
      for (String path : new String[] {"/stream/x", "/safe/x", "/once/x"}) {
        assertEquals(server().send(takeUp(path, "r" + path, "first").build()).statusCode(), 200);
      }
      assertEquals(server().post("/resumable/x", "second").statusCode(), 200);
      assertEquals(b.workRequests(), 4, "requests at the preferred upstream");
      assertEquals(server().streams().origins().lookUps(), 0);
      assertEquals(server().streams().origins().records(), 2, "streams of the resumable route");
    }
  }
}
