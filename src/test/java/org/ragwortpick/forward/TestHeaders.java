package org.ragwortpick.forward;

import io.undertow.util.HttpString;
import java.util.Set;

/** Names of headers of a deployment that uses no name of the platform. */
final class TestHeaders {

  static final RoutingHeaders NAMES =
      new RoutingHeaders(
          HttpString.tryFromString("Request-Id"),
          HttpString.tryFromString("Time-Left-Ms"),
          HttpString.tryFromString("Access-Code"),
          HttpString.tryFromString("Workspace"),
          HttpString.tryFromString("Expected-Upstream"),
          HttpString.tryFromString("Untouched"),
          HttpString.tryFromString("Work-Load"),
          HttpString.tryFromString("Going-Away"),
          HttpString.tryFromString("Takes-Per-Second"),
          HttpString.tryFromString("Prefixes"),
          HttpString.tryFromString("Tokens"),
          HttpString.tryFromString("Parts"),
          HttpString.tryFromString("Part-Seed"),
          HttpString.tryFromString("Results"),
          HttpString.tryFromString("Continues"),
          HttpString.tryFromString("Last-Seen-Event"),
          HttpString.tryFromString("Relayed-By"),
          Set.of(
              HttpString.tryFromString("Access-Code"),
              HttpString.tryFromString("Workspace"),
              HttpString.tryFromString("Time-Left-Ms"),
              HttpString.tryFromString("Relayed-By"),
              HttpString.tryFromString("Internal")));

  private TestHeaders() {}
}
