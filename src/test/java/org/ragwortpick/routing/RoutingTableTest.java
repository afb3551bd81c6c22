package org.ragwortpick.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.testng.annotations.Test;

/** Guards against requests that are matched to a wrong route or a wrong workspace. */
public final class RoutingTableTest {

  private final RoutingTable table =
      new RoutingTable(
          RoutingFixture.configuration(
              3,
              RoutingFixture.route("short", "a.example", "/x/", "s1"),
              RoutingFixture.route("long", "a.example", "/x/y/", "s2"),
              RoutingFixture.route("other", "b.example", "/x/", "s1")));

  private Optional<String> match(String host, String path) {
    return table.match(host, path).map(Route::name);
  }

  @Test
  public void matchesLongestPrefixOfHost() {
    assertEquals(match("a.example", "/x/1"), Optional.of("short"));
    assertEquals(match("a.example", "/x/y/1"), Optional.of("long"));
    assertEquals(match("a.example", "/x/yy"), Optional.of("short"));
    assertEquals(match("b.example", "/x/y/1"), Optional.of("other"));
    assertEquals(match("a.example", "/x"), Optional.empty());
    assertEquals(match("c.example", "/x/1"), Optional.empty());
  }

  @Test
  public void ignoresPortAndCaseOfHost() {
    assertEquals(match("A.Example:8080", "/x/1"), Optional.of("short"));
  }

  @Test
  public void routeWithCapitalsInItsHostIsMatched() {
    RoutingTable capitals =
        new RoutingTable(
            RoutingFixture.configuration(
                1, RoutingFixture.route("r", "Desk.Example", "/x/", "s1")));
    assertEquals(capitals.match("desk.example", "/x/1").map(Route::name), Optional.of("r"));
  }

  @Test
  public void findsWorkspaceOnlyByExactKey() {
    assertTrue(table.needsKeys());
    assertEquals(table.workspaceOf("k1").map(RoutedWorkspace::name), Optional.of("w1"));
    assertFalse(table.workspaceOf("K1").isPresent());
  }

  @Test
  public void decodesEncodedConfiguration() {
    RoutingConfiguration configuration =
        RoutingFixture.configuration(9, RoutingFixture.route("r", "a.example", "/x/", "s1"));
    assertEquals(RoutingConfiguration.decode(configuration.encode()), configuration);
  }
}
