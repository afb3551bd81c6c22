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
final class AnnouncementParser {

  private static final JsonMapper MAPPER =
      Json.MESSAGES.rebuild().enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS).build();

  private AnnouncementParser() {}

  /**
   * Parses an announcement.
   *
   * @param body JSON body
   * @return the record, or an error that states why the announcement is not valid
   */
  static Either<RequestError, Upstream> parse(byte[] body) {
    Upstream upstream;
    try {
      upstream = MAPPER.readValue(body, Upstream.class);
    } catch (IOException e) {
      return malformed("the announcement is not valid JSON or has a value of a wrong type");
    }
    if (upstream == null
        || isMissingOrInvalid(upstream.id())
        || isMissingOrInvalid(upstream.service())) {
      return malformed("the announcement lacks a valid id or service");
    }
    if (upstream.address() == null || isMissingOrInvalid(upstream.dataCentre())) {
      return malformed("the announcement lacks an address or a valid data centre");
    }
    if (upstream.state() == null || upstream.state() == UpstreamState.LOST) {
      return malformed("the state of the announcement is none of cold, ready and leaving");
    }
    if (upstream.slots() < 1 || upstream.coldLimit() < 1 || upstream.load() < 0) {
      return malformed(
          "slots or coldLimit of the announcement is less than 1, or load is negative");
    }
    return Either.right(upstream);
  }

  private static boolean isMissingOrInvalid(String text) {
    return text == null || text.isBlank() || !CallerHeaders.isValid(text);
  }

  private static Either<RequestError, Upstream> malformed(String detail) {
    return Either.left(new RequestError.Malformed(detail));
  }
}
