package org.ragwortpick.forward;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against upstreams that work on for callers that have left. */
public final class LeavingCallerTest extends ForwardServerFixture {

  @DataProvider
  public static Object[][] routes() {
    return new Object[][] {{"safe"}, {"once"}, {"stream"}, {"resumable"}};
  }

  @Test(dataProvider = "routes")
  public void unansweredWorkEndsWithTheConnectionOfItsCaller(String route) throws Exception {
    try (AbandonedRequest abandoned =
        AbandonedRequest.sentTo(server().address(), "/" + route + "/x")) {
      server().announce("u1", abandoned.upstream());
      abandoned.assertWorkEndsAfterCaller();
    }
  }
}
