package org.ragwortpick.sync.rpc;

import java.time.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.ragwortpick.common.HostPort;
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

/** Decisions of the polling protocol, free of I/O and threads. */
public final class SyncExchange {

  private final Clock clock;
  private final LeaderSource leader;
  private final SyncState state;
  private final LeaderDuties duties;
  private final AllowanceRouter router = new AllowanceRouter();
  private final Map<HostPort, Cursor> cursors = new HashMap<>();

  /**
   * Creates the exchange of one VM.
   *
   * @param clock monotonic clock
   * @param leader local control replica
   * @param state state of the local VM
   * @param duties duties of the leader
   */
  public SyncExchange(Clock clock, LeaderSource leader, SyncState state, LeaderDuties duties) {
    this.clock = clock;
    this.leader = leader;
    this.state = state;
    this.duties = duties;
  }

  /**
   * Builds the request of a poll.
   *
   * @param source peer address of the source
   * @return the poll, to be handed to {@link #accept} with the response
   */
  public synchronized Poll poll(HostPort source) {
    Cursor cursor = cursors.computeIfAbsent(source, address -> new Cursor());
    SoftTable.Changes offers = state.table().offeredSince(cursor.accepted);
    long nowMs = clock.millis();
    SyncRequest.Builder request =
        SyncRequest.newBuilder()
            .setVm(state.identity().vm())
            .setIncarnation(state.identity().incarnation())
            .setRevision(state.view().current().revision())
            .setSourceIncarnation(cursor.sourceIncarnation)
            .setCursor(cursor.known)
            .setRecords(SyncCodec.encode(offers));
    for (VmHeartbeats.Heartbeat heard : state.heartbeats().recent()) {
      request.addHeard(
          HeardVm.newBuilder()
              .setVm(heard.vm())
              .setIncarnation(heard.incarnation())
              .setAgeMs(nowMs - heard.atMs()));
    }
    state.allowances().demands().forEach(d -> request.addDemands(AllowanceCodec.encode(d)));
    router.takeDemands().forEach(d -> request.addDemands(AllowanceCodec.encode(d)));
    return new Poll(source, nowMs, offers.version(), request.build());
  }

  /**
   * Takes the place of a poll on the leader, which has no source.
   *
   * @return false if the local VM does not lead and has to poll another one
   */
  public synchronized boolean pollSelf() {
    duties.refresh();
    if (!duties.isLeading()) {
      return false;
    }
    for (Demand demand : state.allowances().demands()) {
      duties.demand(demand).ifPresent(state.allowances()::accept);
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
    boolean complete = mergeFromPoller(request.getRecords(), request.getVm());
    boolean sameTable = request.getSourceIncarnation() == state.identity().incarnation();
    long cursor = sameTable ? request.getCursor() : 0;
    List<Grant> grants = grants(request.getVm(), demands);
    long confirmedAtMs = state.view().confirmedAtMs();
    SoftTable.Changes changes = state.table().changedSince(cursor, request.getVm());
    return SyncResponse.newBuilder()
        .setVm(state.identity().vm())
        .setIncarnation(state.identity().incarnation())
        .setConfirmed(confirmedAtMs > 0)
        .setConfirmedAgeMs(Math.max(0, clock.millis() - confirmedAtMs))
        .setConfiguration(SyncCodec.encode(configurationSince(request.getRevision())))
        .setCursor(changes.version())
        .setRecords(SyncCodec.encode(changes))
        .setOfferAll(!complete)
        .addAllGrants(grants.stream().map(AllowanceCodec::encode).toList())
        .setWarmFloor(state.warmFlags().floor())
        .build();
  }

  private List<Grant> grants(String fromVm, List<Demand> demands) {
    if (duties.isLeading()) {
      return demands.stream().map(duties::demand).flatMap(Optional::stream).toList();
    }
    router.receive(fromVm, demands);
    return router.takeGrants(fromVm);
  }

  private ConfigurationDelta configurationSince(long revision) {
    ConfigurationDelta delta = state.view().since(revision);
    // The leader keeps more history than its own view after a restart.
    return delta.snapshot() && duties.isLeading() ? leader.deltaSince(revision) : delta;
  }

  /**
   * Takes the response to a poll. A response whose confirmation is older than the configuration
   * lease is refused. One that is usable but old tells to look for a better source.
   *
   * @param poll the poll
   * @param response the response
   * @return true if it was accepted and the source is worth to be polled again
   */
  public synchronized boolean accept(Poll poll, SyncResponse response) {
    // The age counts from the time of sending, so that a slow network never makes a view fresher.
    long confirmedAtMs = poll.sentAtMs() - response.getConfirmedAgeMs();
    if (!response.getConfirmed() || !state.view().isWithinLease(confirmedAtMs)) {
      return false;
    }
    Cursor cursor = cursors.computeIfAbsent(poll.source(), address -> new Cursor());
    boolean sameTable = cursor.sourceIncarnation == response.getIncarnation();
    cursor.sourceIncarnation = response.getIncarnation();
    cursor.accepted = sameTable && !response.getOfferAll() ? poll.offered() : 0;
    // Records come before the confirmation: a confirmed view knows all older flags.
    cursor.known = mergeFromSource(response.getRecords()) ? response.getCursor() : 0;
    state.warmFlags().raiseFloor(response.getWarmFloor());
    response.getGrantsList().stream().map(AllowanceCodec::decode).forEach(this::takeGrant);
    return state.view().accept(SyncCodec.decode(response.getConfiguration()), confirmedAtMs)
        && clock.millis() - confirmedAtMs < SyncTimings.SOURCE_AGE_MS;
  }

  private void takeGrant(Grant grant) {
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

  /** Merges records and tells whether all load messages fit the known records. */
  private boolean merge(SoftRecords records, Consumer<SoftRecord> table) {
    records.getVmsList().forEach(message -> table.accept(SyncCodec.decode(message)));
    records.getUpstreamsList().forEach(message -> table.accept(SyncCodec.decode(message)));
    boolean complete = true;
    for (LoadMessage load : records.getLoadsList()) {
      complete &= mergeLoad(load, table);
    }
    return complete;
  }

  private boolean mergeLoad(LoadMessage load, Consumer<SoftRecord> table) {
    Optional<SoftRecord.OfUpstream> found =
        state
            .table()
            .find(SoftRecord.OfUpstream.keyOf(load.getId()))
            .map(SoftRecord.OfUpstream.class::cast);
    if (found.isEmpty()) {
      return false;
    }
    SoftRecord.OfUpstream known = found.get();
    if (known.bodyChecksum() == load.getBodyChecksum()) {
      table.accept(known.withLoad(load.getSequence(), load.getLoad()));
      return true;
    }
    // The rest of the record differs; that is harmless only if the local record is newer.
    long incarnation = known.upstream().incarnation();
    return incarnation > load.getIncarnation()
        || (incarnation == load.getIncarnation()
            && known.upstream().sequence() > load.getSequence());
  }

  /**
   * Poll on its way.
   *
   * @param source peer address of the source
   * @param sentAtMs local monotonic time of sending in milliseconds
   * @param offered version of the local table that the request offers
   * @param request the request
   */
  public record Poll(HostPort source, long sentAtMs, long offered, SyncRequest request) {}

  private static final class Cursor {
    private long sourceIncarnation;
    private long known;
    private long accepted;
  }
}
