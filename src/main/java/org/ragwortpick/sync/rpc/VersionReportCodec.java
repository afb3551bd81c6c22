package org.ragwortpick.sync.rpc;

import org.ragwortpick.proto.RouteCountsMessage;
import org.ragwortpick.proto.VersionCountsMessage;
import org.ragwortpick.proto.VersionReportMessage;
import org.ragwortpick.rollout.RouteCounts;
import org.ragwortpick.rollout.VersionCounts;
import org.ragwortpick.rollout.VersionReport;

/** Conversion of reports about services in a rollout to and from protobuf messages. */
final class VersionReportCodec {

  private VersionReportCodec() {}

  /**
   * Encodes a report.
   *
   * @param report the report
   * @return the message
   */
  static VersionReportMessage encode(VersionReport report) {
    VersionReportMessage.Builder message =
        VersionReportMessage.newBuilder()
            .setVm(report.vm())
            .setIncarnation(report.incarnation())
            .setSequence(report.sequence())
            .setService(report.service())
            .setOrder(report.order())
            .setMoved(report.moved())
            .setOldInFlight(report.oldInFlight())
            .setSentOld(report.sentOld())
            .setSentNew(report.sentNew());
    report
        .routes()
        .forEach(
            counts ->
                message.addRoutes(
                    RouteCountsMessage.newBuilder()
                        .setRoute(counts.route())
                        .setOldVersion(encode(counts.oldVersion()))
                        .setNewVersion(encode(counts.newVersion()))));
    return message.build();
  }

  private static VersionCountsMessage encode(VersionCounts counts) {
    VersionCountsMessage.Builder message =
        VersionCountsMessage.newBuilder()
            .setResponses(counts.responses())
            .setFailures(counts.failures());
    for (long number : counts.times()) {
      message.addTimes(number);
    }
    return message.build();
  }

  /**
   * Decodes a report.
   *
   * @param message the message
   * @return the report
   */
  static VersionReport decode(VersionReportMessage message) {
    return new VersionReport(
        message.getVm(),
        message.getIncarnation(),
        message.getSequence(),
        message.getService(),
        message.getOrder(),
        message.getMoved(),
        message.getOldInFlight(),
        message.getSentOld(),
        message.getSentNew(),
        message.getRoutesList().stream()
            .map(
                counts ->
                    new RouteCounts(
                        counts.getRoute(),
                        decode(counts.getOldVersion()),
                        decode(counts.getNewVersion())))
            .toList());
  }

  private static VersionCounts decode(VersionCountsMessage message) {
    return new VersionCounts(
        message.getResponses(),
        message.getFailures(),
        message.getTimesList().stream().mapToLong(Long::longValue).toArray());
  }
}
