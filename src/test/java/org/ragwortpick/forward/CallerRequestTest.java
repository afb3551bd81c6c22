package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;

import io.undertow.util.HeaderMap;
import io.undertow.util.Methods;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.ragwortpick.routing.Route;
import org.ragwortpick.routing.RoutedWorkspace;
import org.ragwortpick.routing.RoutingFixture;
import org.testng.annotations.Test;

/** Guards against urgent routes that are not preferred to other routes of their workspace. */
public final class CallerRequestTest {

  private static CallerRequest request(String id, Integer workspacePriority, int routePriority) {
    Route route = RoutingFixture.streaming(routePriority, List.of());
    return new CallerRequest(
        id,
        Methods.POST,
        "/",
        new HeaderMap(),
        new byte[0],
        route,
        Optional.of(new RoutedWorkspace("w", List.of("key"), workspacePriority)),
        1,
        0,
        5_000);
  }

  @Test
  public void workspacePriorityPrecedesRoutePriority() {
    List<String> order =
        Stream.of(
                request("second workspace, first route", 1, 0),
                request("first workspace, last route", 0, 40),
                request("no priority, second route", null, 1),
                request("first workspace, first route", 0, 0))
            .sorted(Comparator.comparingInt(CallerRequest::priority))
            .map(CallerRequest::id)
            .toList();
    assertEquals(
        order,
        List.of(
            "first workspace, first route",
            "first workspace, last route",
            "second workspace, first route",
            "no priority, second route"));
  }
}
