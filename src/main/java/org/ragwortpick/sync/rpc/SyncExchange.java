package org.ragwortpick.sync.rpc;

import java.time.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.proto.ConfigurationMessage;
import org.ragwortpick.proto.ConfigurationPart;
import org.ragwortpick.proto.HeardVm;
import org.ragwortpick.proto.LoadMessage;
import org.ragwortpick.proto.SoftRecords;
import org.ragwortpick.proto.SyncRequest;
import org.ragwortpick.proto.SyncResponse;
import org.ragwortpick.sync.ConfigurationDelta;
import org.ragwortpick.sync.LeaderSource;
import org.ragwortpick.sync.SyncTimings;
import org.ragwortpick.sync.allowance.AllowanceRouter;
import org.ragwortpick.sync.allowance.Demand;
import org.ragwortpick.sync.allowance.Grant;
import org.ragwortpick.sync.directory.SoftRecord;
import org.ragwortpick.sync.directory.SoftTable;
import org.ragwortpick.sync.directory.VmHeartbeats;

/** Logic of the polling protocol, without I/O and threads. */
public final class SyncExchange {

  /**
   * Maximum size of a configuration or a part of it in one response, and of the records in a
   * request or a response; 37 ms at 7 Mbit/s.
   */
  static final int MAX_PART_BYTES = 32 * 1_024;

  private final Clock clock;
  private final LeaderSource leader;
  private final SyncState state;
  private final LeaderDuties duties;
  private final AllowanceRouter router = new AllowanceRouter();
  private final Map<HostPort, SourceCursor> cursors = new HashMap<>();
  private final int maxPartBytes;
  private final TransferSource transferSource;
  private final TransferReceiver transferReceiver;
  private boolean sourceHasMore;
  private boolean recordsMissing;
  private ConfigurationReceipt lastReceipt = new ConfigurationReceipt(0, 0);

  /**
   * Creates the exchange of one VM.
   *
   * @param clock monotonic clock
   * @param leader local control replica
   * @param state state of the local VM
   * @param duties work of the leader
   */
  public SyncExchange(Clock clock, LeaderSource leader, SyncState state, LeaderDuties duties) {
    this(clock, leader, state, duties, MAX_PART_BYTES);
  }

  /**
   * Creates the exchange of one VM with another maximum size of the parts.
   *
   * @param clock monotonic clock
   * @param leader local control replica
   * @param state state of the local VM
   * @param duties work of the leader
   * @param maxPartBytes maximum size of a configuration or a part of it, and of the records, in one
   *     message
   */
  SyncExchange(
      Clock clock, LeaderSource leader, SyncState state, LeaderDuties duties, int maxPartBytes) {
    this.clock = clock;
    this.leader = leader;
    this.state = state;
    this.duties = duties;
    this.maxPartBytes = maxPartBytes;
    this.transferSource = new TransferSource(maxPartBytes);
    this.transferReceiver = new TransferReceiver(clock);
  }

  /**
   * Builds the request of a poll.
   *
   * @param source peer address of the source
   * @return the poll, to be passed to {@link #accept} with the response
   */
  public synchronized Poll poll(HostPort source) {
    SourceCursor cursor = cursors.computeIfAbsent(source, address -> new SourceCursor());
    long nowMs = clock.millis();
    SoftTable.Changes offers =
        state
            .table()
            .offeredSince(
                cursor.acceptedVersion(),
                cursor.completeAcceptedVersion(),
                new RecordBudget(maxPartBytes, nowMs));
    long revision = state.view().current().revision();
    SyncRequest.Builder request =
        SyncRequest.newBuilder()
            .setVm(state.identity().vm())
            .setIncarnation(state.identity().incarnation())
            .setRevision(revision)
            .setTransfer(transferReceiver.position(revision))
            .setSourceIncarnation(cursor.sourceIncarnation())
            .setCursor(cursor.receivedVersion())
            .setCompleteCursor(cursor.completeReceivedVersion())
            .setRecords(SyncCodec.encode(offers, nowMs));
    for (VmHeartbeats.Heartbeat heartbeat : state.heartbeats().recent()) {
      request.addHeard(
          HeardVm.newBuilder()
              .setVm(heartbeat.vm())
              .setIncarnation(heartbeat.incarnation())
              .setAgeMs(nowMs - heartbeat.atMs()));
    }
    state.allowances().demands().forEach(d -> request.addDemands(AllowanceCodec.encode(d)));
    router.takeDemands().forEach(d -> request.addDemands(AllowanceCodec.encode(d)));
    state
        .versionReports()
        .takeForSource()
        .forEach(report -> request.addVersionReports(VersionReportCodec.encode(report)));
    return new Poll(source, nowMs, offers.version(), offers.complete(), request.build());
  }

  /**
   * Replaces a poll on the leader, which has no source: handles the demands of the local VM.
   *
   * @return false if the local VM does not lead and has to poll another one
   */
  public synchronized boolean pollSelf() {
    duties.refresh();
    if (!duties.isLeading()) {
      return false;
    }
    for (Demand demand : state.allowances().demands()) {
      duties.handleDemand(demand).ifPresent(state.allowances()::accept);
    }
    return true;
  }

  /**
   * Responds to a poll.
   *
   * @param request the request
   * @return the response
   */
  public synchronized SyncResponse respond(SyncRequest request) {
    duties.refresh();
    state.heartbeats().record(request.getVm(), request.getIncarnation(), 0);
    for (HeardVm heard : request.getHeardList()) {
      state.heartbeats().record(heard.getVm(), heard.getIncarnation(), heard.getAgeMs());
    }
    List<Demand> demands = request.getDemandsList().stream().map(AllowanceCodec::decode).toList();
    state
        .versionReports()
        .receive(request.getVersionReportsList().stream().map(VersionReportCodec::decode).toList());
    boolean complete = mergeFromPoller(request.getRecords(), request.getVm());
    List<Grant> grants = handleDemands(request.getVm(), demands);
    long confirmedAtMs = state.view().confirmedAtMs();
    SoftTable.Changes changes = changesFor(request);
    SyncResponse.Builder response = SyncResponse.newBuilder();
    transferSource.write(request, this::configurationSince, response);
    return response
        .setVm(state.identity().vm())
        .setIncarnation(state.identity().incarnation())
        .setConfirmed(confirmedAtMs > 0)
        .setConfirmedAgeMs(Math.max(0, clock.millis() - confirmedAtMs))
        .setCursor(changes.version())
        .setRecords(SyncCodec.encode(changes, clock.millis()))
        .setRecordsIncomplete(!changes.complete())
        .setOfferAll(!complete)
        .addAllGrants(grants.stream().map(AllowanceCodec::encode).toList())
        .setWarmFloor(state.warmFlags().floor())
        .build();
  }

  private SoftTable.Changes changesFor(SyncRequest request) {
    boolean sameIncarnation = request.getSourceIncarnation() == state.identity().incarnation();
    long cursor = sameIncarnation ? request.getCursor() : 0;
    if (!request.hasTransfer()) {
      // A VM of an earlier release takes each response for all changes.
      return state
          .table()
          .changedSince(cursor, cursor, request.getVm(), SoftTable.MessageLimit.NONE);
    }
    long completeCursor = sameIncarnation ? request.getCompleteCursor() : 0;
    return state
        .table()
        .changedSince(
            cursor,
            completeCursor,
            request.getVm(),
            new RecordBudget(maxPartBytes, clock.millis()));
  }

  private List<Grant> handleDemands(String fromVm, List<Demand> demands) {
    if (duties.isLeading()) {
      return demands.stream().map(duties::handleDemand).flatMap(Optional::stream).toList();
    }
    router.receive(fromVm, demands);
    return router.takeGrants(fromVm);
  }

  private ConfigurationDelta configurationSince(long revision) {
    ConfigurationDelta delta = state.view().deltaSince(revision);
    // After a restart the state machine of the leader has more history than its view.
    return delta.snapshot() && duties.isLeading() ? leader.deltaSince(revision) : delta;
  }

  /**
   * Processes the response to a poll. A response whose confirmation is older than the configuration
   * lease is refused. One that is older than the source age limit is used, but another source
   * should be tried next.
   *
   * @param poll the poll
   * @param response the response
   * @return whether the same source should be polled again
   */
  public synchronized SourceQuality accept(Poll poll, SyncResponse response) {
    // The age is counted from the time of sending, so that network delay never makes a view newer.
    long confirmedAtMs = poll.sentAtMs() - response.getConfirmedAgeMs();
    sourceHasMore = false;
    if (!response.getConfirmed() || !state.view().isWithinLease(confirmedAtMs)) {
      return SourceQuality.UNUSABLE;
    }
    SourceCursor cursor = cursors.computeIfAbsent(poll.source(), address -> new SourceCursor());
    cursor.recordOffers(poll, response);
    // Records are merged before the confirmation, so that a confirmed view has all older flags.
    boolean merged = mergeFromSource(response.getRecords());
    cursor.recordReceived(response, merged);
    state.warmFlags().raiseFloor(response.getWarmFloor());
    response.getGrantsList().stream().map(AllowanceCodec::decode).forEach(this::deliverGrant);
    boolean recordsComplete = !response.getRecordsIncomplete();
    boolean accepted =
        response.hasPart()
            ? acceptPart(response.getPart(), recordsComplete, confirmedAtMs)
            : acceptWhole(response.getConfiguration(), recordsComplete, confirmedAtMs);
    recordsMissing = !recordsComplete;
    sourceHasMore |= recordsMissing && merged;
    sourceHasMore |= !poll.offersComplete() && !response.getOfferAll();
    long ageMs = clock.millis() - confirmedAtMs;
    if (!accepted || ageMs >= SyncTimings.MAX_SOURCE_AGE_MS) {
      return SourceQuality.UNUSABLE;
    }
    return ageMs < SyncTimings.FRESH_SOURCE_AGE_MS ? SourceQuality.FRESH : SourceQuality.LAGGING;
  }

  private boolean acceptWhole(
      ConfigurationMessage message, boolean recordsComplete, long confirmedAtMs) {
    if (message.getRevision() > state.view().current().revision()) {
      lastReceipt = new ConfigurationReceipt(message.getSerializedSize(), 1);
    }
    if (!state.view().advance(SyncCodec.decode(message), confirmedAtMs)) {
      return false;
    }
    if (recordsComplete) {
      transferReceiver.confirm(message.getRevision(), confirmedAtMs);
      state.view().confirm(message.getRevision(), confirmedAtMs);
    }
    return true;
  }

  /**
   * Collects a part. The view is confirmed only once the transferred revision is applied, and only
   * as of a time at which the source had no newer one and the local VM had all records.
   */
  private boolean acceptPart(ConfigurationPart part, boolean recordsComplete, long confirmedAtMs) {
    boolean advanced = transferReceiver.add(part);
    if (recordsComplete) {
      transferReceiver.confirm(part.getSourceRevision(), confirmedAtMs);
    }
    if (!transferReceiver.isComplete()) {
      sourceHasMore = advanced;
      return true;
    }
    long revisionConfirmedAtMs = transferReceiver.confirmedAtMs();
    int parts = transferReceiver.parts();
    CompressedDelta compressed = transferReceiver.take();
    lastReceipt = new ConfigurationReceipt(compressed.bytes().size(), parts);
    ConfigurationDelta delta = compressed.decompress();
    if (!state.view().advance(delta, confirmedAtMs)) {
      return false;
    }
    state.view().confirm(delta.revision(), revisionConfirmedAtMs);
    sourceHasMore = part.getSourceRevision() > delta.revision();
    return true;
  }

  /**
   * Tells whether the source of the last accepted response has more for the local VM than it could
   * put into the response, so that it should be polled again soon.
   *
   * @return true if the last response advanced the exchange of the configuration or of the records
   *     without completing it
   */
  public synchronized boolean sourceHasMore() {
    return sourceHasMore;
  }

  /**
   * Returns what the local VM has not fetched completely.
   *
   * @return the progress, for the log
   */
  synchronized FetchProgress fetchProgress() {
    return new FetchProgress(
        state.view().current().revision(),
        transferReceiver.revision(),
        transferReceiver.receivedBytes(),
        transferReceiver.totalBytes(),
        recordsMissing,
        state.view().isInForce());
  }

  /**
   * Returns how the newest configuration of the local VM arrived.
   *
   * @return size and number of parts
   */
  synchronized ConfigurationReceipt lastReceipt() {
    return lastReceipt;
  }

  /**
   * Returns the configuration of the local VM.
   *
   * @return the configuration
   */
  public Configuration configuration() {
    return state.view().current();
  }

  private void deliverGrant(Grant grant) {
    if (grant.holder().equals(state.identity().vm())) {
      state.allowances().accept(grant);
    } else {
      router.route(grant);
    }
  }

  private boolean mergeFromPoller(SoftRecords records, String fromVm) {
    return merge(records, incoming -> state.table().mergeFromPoller(incoming, fromVm));
  }

  private boolean mergeFromSource(SoftRecords records) {
    records.getFlagsList().forEach(m -> state.table().mergeFromSource(SyncCodec.decode(m)));
    return merge(records, state.table()::mergeFromSource);
  }

  /** Merges records and returns whether all load messages match the local records. */
  private boolean merge(SoftRecords records, Consumer<SoftRecord> merger) {
    records.getVmsList().forEach(message -> merger.accept(SyncCodec.decode(message)));
    records.getUpstreamsList().forEach(message -> merger.accept(SyncCodec.decode(message)));
    long nowMs = clock.millis();
    records
        .getCrashEvidenceList()
        .forEach(message -> merger.accept(SyncCodec.decode(message, nowMs)));
    records.getLimitsList().forEach(message -> merger.accept(SyncCodec.decode(message)));
    boolean complete = true;
    for (LoadMessage load : records.getLoadsList()) {
      complete &= mergeLoad(load, merger);
    }
    return complete;
  }

  private boolean mergeLoad(LoadMessage load, Consumer<SoftRecord> merger) {
    Optional<SoftRecord.OfUpstream> found =
        state
            .table()
            .find(SoftRecord.OfUpstream.keyOf(load.getId()))
            .map(SoftRecord.OfUpstream.class::cast);
    if (found.isEmpty()) {
      return false;
    }
    SoftRecord.OfUpstream current = found.get();
    if (current.bodyChecksum() == load.getBodyChecksum()) {
      merger.accept(current.withLoad(load.getSequence(), load.getLoad()));
      return true;
    }
    // The rest of the record differs, which is harmless only if the local record is newer.
    long incarnation = current.upstream().incarnation();
    return incarnation > load.getIncarnation()
        || (incarnation == load.getIncarnation()
            && current.upstream().sequence() > load.getSequence());
  }

  /**
   * Poll that awaits its response.
   *
   * @param source peer address of the source
   * @param sentAtMs local monotonic time of sending in milliseconds
   * @param offeredVersion version of the local table up to which the request offers records
   * @param offersComplete whether there is nothing more to offer
   * @param request the request
   */
  public record Poll(
      HostPort source,
      long sentAtMs,
      long offeredVersion,
      boolean offersComplete,
      SyncRequest request) {}
}
