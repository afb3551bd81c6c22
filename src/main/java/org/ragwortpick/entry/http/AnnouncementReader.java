package org.ragwortpick.entry.http;

import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import java.io.IOException;
import org.ragwortpick.common.Json;
import org.ragwortpick.error.RequestError;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamState;

/** Parses and checks the announcements of upstreams. */
final class AnnouncementReader {

  private static final JsonMapper MAPPER =
      Json.MESSAGES.rebuild().enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS).build();

  private AnnouncementReader() {}

  /**
   * Parses an announcement.
   *
   * @param body JSON body
   * @return the record, or why it is not valid
   */
  static Either<RequestError, Upstream> parse(byte[] body) {
    Upstream upstream;
    try {
      upstream = MAPPER.readValue(body, Upstream.class);
    } catch (IOException e) {
      return malformed("the announcement is not valid JSON or has a value of a wrong type");
    }
    if (upstream == null || isBlank(upstream.id()) || isBlank(upstream.service())) {
      return malformed("the announcement names no id or service");
    }
    if (upstream.address() == null || isBlank(upstream.dataCentre())) {
      return malformed("the announcement names no address or data centre");
    }
    if (upstream.state() == null || upstream.state() == UpstreamState.LOST) {
      return malformed("the state is none of cold, ready and leaving");
    }
    if (upstream.slots() < 1 || upstream.coldLimit() < 1 || upstream.load() < 0) {
      return malformed("slots and coldLimit are not at least 1, or load is negative");
    }
    return Either.right(upstream);
  }

  private static boolean isBlank(String text) {
    return text == null || text.isBlank() || !CallerHeaders.isValid(text);
  }

  private static Either<RequestError, Upstream> malformed(String detail) {
    return Either.left(new RequestError.Malformed(detail));
  }
}
