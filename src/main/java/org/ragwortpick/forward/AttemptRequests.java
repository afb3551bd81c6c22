package org.ragwortpick.forward;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.time.Clock;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.ragwortpick.entry.upstream.HttpRequest;
import org.ragwortpick.entry.upstream.ResponseLimits;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.VmRecord;

/** Builds what is sent to upstreams for the attempts of one request. */
final class AttemptRequests {

  /**
   * Margin by which the progress timeout of an attempt exceeds the deadline, so that an attempt
   * without a response is ended by the deadline timer and not by its progress timeout.
   */
  private static final long DEADLINE_MARGIN_MS = 100;

  /** Limit of the body of a response, which callers of a pipeline or a service stay far below. */
  private static final long MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

  private final CallerRequest request;
  private final RoutingHeaders names;
  private final Clock clock;

  /**
   * Creates the builder of one request.
   *
   * @param request the request
   * @param names names of the headers
   * @param clock monotonic clock
   */
  AttemptRequests(CallerRequest request, RoutingHeaders names, Clock clock) {
    this.request = request;
    this.names = names;
    this.clock = clock;
  }

  /**
   * Builds the request of an attempt. Its headers are made when it is written, so that they state
   * the time that is left then.
   *
   * @param upstream upstream of the attempt
   * @param inputs handles of the results of the stages
   * @param permit asked immediately before the first byte is written
   * @return the request
   */
  HttpRequest to(Upstream upstream, List<String> inputs, BooleanSupplier permit) {
    return new HttpRequest(
        upstream.address(),
        request.method(),
        request.target(),
        () -> headersFor(upstream, inputs),
        request.body(),
        false,
        ResponseLimits.withoutTotalTimeout(atLeastOneMs() + DEADLINE_MARGIN_MS, MAX_RESPONSE_BYTES),
        permit);
  }

  /**
   * Builds the request of an attempt through another VM, which gets all that the caller sent.
   *
   * @param peer the other VM
   * @param localVm name of the local VM
   * @param permit asked immediately before the first byte is written
   * @return the request
   */
  HttpRequest through(VmRecord peer, String localVm, BooleanSupplier permit) {
    return new HttpRequest(
        peer.callerAddress(),
        request.method(),
        request.target(),
        () -> headersThrough(localVm),
        request.body(),
        false,
        ResponseLimits.withoutTotalTimeout(atLeastOneMs() + DEADLINE_MARGIN_MS, MAX_RESPONSE_BYTES),
        permit);
  }

  private HeaderMap headersThrough(String localVm) {
    HeaderMap headers = copyHeaders(Set.of());
    headers.put(names.deadlineMs(), atLeastOneMs());
    headers.put(names.relayed(), localVm);
    return headers;
  }

  private long atLeastOneMs() {
    return Math.max(1, request.deadlineAtMs() - clock.millis());
  }

  private HeaderMap headersFor(Upstream upstream, List<String> inputs) {
    HeaderMap headers = copyHeaders(names.reserved());
    headers.put(names.deadlineMs(), atLeastOneMs());
    headers.put(names.expectedUpstream(), upstream.id());
    request.workspace().ifPresent(owner -> headers.put(names.workspace(), owner.name()));
    if (!inputs.isEmpty()) {
      headers.put(names.inputs(), String.join(",", inputs));
    }
    return headers;
  }

  private HeaderMap copyHeaders(Set<HttpString> excluded) {
    HeaderMap headers = new HeaderMap();
    for (HeaderValues values : request.headers()) {
      boolean forwarded =
          !excluded.contains(values.getHeaderName())
              && !ResponseRelay.CONNECTION_HEADERS.contains(values.getHeaderName())
              && !values.getHeaderName().equals(Headers.CONTENT_LENGTH);
      if (forwarded) {
        headers.putAll(values.getHeaderName(), values);
      }
    }
    boolean hasLength = request.headers().contains(Headers.CONTENT_LENGTH);
    if (request.body().length > 0 || hasLength) {
      headers.put(Headers.CONTENT_LENGTH, request.body().length);
    }
    return headers;
  }
}
