package org.ragwortpick.sync.rpc;

import java.util.List;
import java.util.TreeMap;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.proto.ConfigurationMessage;
import org.ragwortpick.proto.CrashEvidenceMessage;
import org.ragwortpick.proto.CrashMessage;
import org.ragwortpick.proto.FlagMessage;
import org.ragwortpick.proto.LoadMessage;
import org.ragwortpick.proto.SoftRecords;
import org.ragwortpick.proto.UpstreamLimitMessage;
import org.ragwortpick.proto.UpstreamMessage;
import org.ragwortpick.proto.VmMessage;
import org.ragwortpick.sync.ConfigurationDelta;
import org.ragwortpick.sync.Crash;
import org.ragwortpick.sync.CrashEvidence;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamLimit;
import org.ragwortpick.sync.UpstreamState;
import org.ragwortpick.sync.VmRecord;
import org.ragwortpick.sync.VmState;
import org.ragwortpick.sync.directory.SoftRecord;
import org.ragwortpick.sync.directory.SoftTable;
import org.ragwortpick.sync.directory.Stamp;

/** Conversion of configuration deltas and records to and from protobuf messages. */
public final class SyncCodec {

  /** Rate on the wire of an upstream that names no limit any more. */
  private static final double NO_LIMIT = -1;

  private SyncCodec() {}

  /**
   * Encodes a configuration delta.
   *
   * @param delta the delta
   * @return the message
   */
  public static ConfigurationMessage encode(ConfigurationDelta delta) {
    return ConfigurationMessage.newBuilder()
        .setFromRevision(delta.fromRevision())
        .setRevision(delta.revision())
        .setSnapshot(delta.snapshot())
        .putAllPuts(delta.puts())
        .addAllDeletes(delta.deletes())
        .build();
  }

  /**
   * Decodes a configuration delta.
   *
   * @param message the message
   * @return the delta
   */
  public static ConfigurationDelta decode(ConfigurationMessage message) {
    return new ConfigurationDelta(
        message.getFromRevision(),
        message.getRevision(),
        message.getSnapshot(),
        new TreeMap<>(message.getPutsMap()),
        List.copyOf(message.getDeletesList()));
  }

  /**
   * Encodes changed records.
   *
   * @param changes the changes
   * @param nowMs monotonic time of the local VM in milliseconds
   * @return the message
   */
  public static SoftRecords encode(SoftTable.Changes changes, long nowMs) {
    SoftRecords.Builder records = SoftRecords.newBuilder();
    changes.bodies().forEach(record -> add(record, nowMs, records));
    changes.loads().forEach(upstream -> records.addLoads(encodeLoad(upstream)));
    return records.build();
  }

  /**
   * Returns the size of a record in a message.
   *
   * @param record the record
   * @param loadOnly whether only its sequence and load are sent
   * @param nowMs monotonic time of the local VM in milliseconds
   * @return the size in bytes
   */
  static int encodedBytes(SoftRecord record, boolean loadOnly, long nowMs) {
    SoftRecords.Builder records = SoftRecords.newBuilder();
    if (loadOnly) {
      records.addLoads(encodeLoad((SoftRecord.OfUpstream) record));
    } else {
      add(record, nowMs, records);
    }
    return records.build().getSerializedSize();
  }

  private static void add(SoftRecord record, long nowMs, SoftRecords.Builder records) {
    if (record instanceof SoftRecord.OfVm vm) {
      records.addVms(encode(vm.record()));
    } else if (record instanceof SoftRecord.OfUpstream upstream) {
      records.addUpstreams(encode(upstream));
    } else if (record instanceof SoftRecord.OfCrashEvidence crashes) {
      records.addCrashEvidence(encode(crashes.evidence(), nowMs));
    } else if (record instanceof SoftRecord.OfUpstreamLimit limit) {
      records.addLimits(encode(limit.limit()));
    } else {
      records.addFlags(encode((SoftRecord.Flag) record));
    }
  }

  private static LoadMessage encodeLoad(SoftRecord.OfUpstream upstream) {
    return LoadMessage.newBuilder()
        .setId(upstream.upstream().id())
        .setIncarnation(upstream.upstream().incarnation())
        .setSequence(upstream.upstream().sequence())
        .setLoad(upstream.upstream().load())
        .setBodyChecksum(upstream.bodyChecksum())
        .build();
  }

  private static VmMessage encode(VmRecord vm) {
    return VmMessage.newBuilder()
        .setVm(vm.vm())
        .setIncarnation(vm.incarnation())
        .setSequence(vm.sequence())
        .setDataCentre(vm.dataCentre())
        .setCallerAddress(vm.servesCallers() ? vm.callerAddress().toString() : "")
        .setPeerAddress(vm.peerAddress().toString())
        .setState(vm.state().ordinal())
        .setLoad(vm.load())
        .setControl(vm.control())
        .setProcessorPercent(vm.processorPercent())
        .setUpstreamsUnreachable(!vm.reachesUpstreams())
        .build();
  }

  private static UpstreamMessage encode(SoftRecord.OfUpstream record) {
    Upstream upstream = record.upstream();
    return UpstreamMessage.newBuilder()
        .setId(upstream.id())
        .setIncarnation(upstream.incarnation())
        .setSequence(upstream.sequence())
        .setAddress(upstream.address().toString())
        .setDataCentre(upstream.dataCentre())
        .setService(upstream.service())
        .setModel(upstream.model())
        .setVersion(upstream.version())
        .addAllAdapters(upstream.adapters())
        .setState(upstream.state().ordinal())
        .setSlots(upstream.slots())
        .setColdLimit(upstream.coldLimit())
        .setLoad(upstream.load())
        .setChecksFencing(upstream.checksFencing())
        .setHomeVm(record.homeVm())
        .setHomeIncarnation(record.homeIncarnation())
        .setLeft(record.left())
        .build();
  }

  private static FlagMessage encode(SoftRecord.Flag flag) {
    return FlagMessage.newBuilder()
        .setKind(flag.kind().ordinal())
        .setId(flag.id())
        .setIncarnation(flag.incarnation())
        .setTerm(flag.stamp().term())
        .setNumber(flag.stamp().number())
        .setSet(flag.set())
        .build();
  }

  private static CrashEvidenceMessage encode(CrashEvidence evidence, long nowMs) {
    CrashEvidenceMessage.Builder message =
        CrashEvidenceMessage.newBuilder()
            .setService(evidence.service())
            .setPart(evidence.content());
    for (Crash crash : evidence.crashes()) {
      message.addCrashes(
          CrashMessage.newBuilder()
              .setUpstream(crash.upstreamId())
              .setIncarnation(crash.incarnation())
              .setAgeMs(Math.max(0, nowMs - crash.observedAtMs()))
              .setCleared(crash.cleared()));
    }
    return message.build();
  }

  private static UpstreamLimitMessage encode(UpstreamLimit limit) {
    return UpstreamLimitMessage.newBuilder()
        .setUpstream(limit.upstreamId())
        .setIncarnation(limit.incarnation())
        .setRequestsPerSecond(limit.isInForce() ? limit.requestsPerSecond() : NO_LIMIT)
        .setVersion(limit.version())
        .build();
  }

  /**
   * Decodes the limit of an upstream.
   *
   * @param message the message
   * @return the record
   */
  public static SoftRecord decode(UpstreamLimitMessage message) {
    double rate = message.getRequestsPerSecond();
    return new SoftRecord.OfUpstreamLimit(
        new UpstreamLimit(
            message.getUpstream(),
            message.getIncarnation(),
            rate < 0 ? UpstreamLimit.NONE : rate,
            message.getVersion()));
  }

  /**
   * Decodes evidence about a prompt part.
   *
   * @param message the message
   * @param nowMs monotonic time of the local VM in milliseconds
   * @return the record
   */
  public static SoftRecord decode(CrashEvidenceMessage message, long nowMs) {
    List<Crash> crashes =
        message.getCrashesList().stream()
            .map(
                crash ->
                    new Crash(
                        crash.getUpstream(),
                        crash.getIncarnation(),
                        nowMs - crash.getAgeMs(),
                        crash.getCleared()))
            .toList();
    return new SoftRecord.OfCrashEvidence(
        new CrashEvidence(message.getService(), message.getPart(), crashes));
  }

  /**
   * Decodes a VM record.
   *
   * @param message the message
   * @return the record
   */
  public static SoftRecord decode(VmMessage message) {
    return new SoftRecord.OfVm(
        new VmRecord(
            message.getVm(),
            message.getIncarnation(),
            message.getSequence(),
            message.getDataCentre(),
            message.getCallerAddress().isEmpty()
                ? HostPort.NONE
                : HostPort.parse(message.getCallerAddress()),
            HostPort.parse(message.getPeerAddress()),
            VmState.values()[message.getState()],
            message.getLoad(),
            message.getControl(),
            message.getProcessorPercent(),
            !message.getUpstreamsUnreachable()));
  }

  /**
   * Decodes an upstream record.
   *
   * @param message the message
   * @return the record
   */
  public static SoftRecord decode(UpstreamMessage message) {
    Upstream upstream =
        new Upstream(
            message.getId(),
            message.getIncarnation(),
            message.getSequence(),
            HostPort.parse(message.getAddress()),
            message.getDataCentre(),
            message.getService(),
            message.getModel(),
            message.getVersion(),
            message.getAdaptersList(),
            UpstreamState.values()[message.getState()],
            message.getSlots(),
            message.getColdLimit(),
            message.getLoad(),
            message.getChecksFencing());
    return new SoftRecord.OfUpstream(
        upstream, message.getHomeVm(), message.getHomeIncarnation(), message.getLeft());
  }

  /**
   * Decodes a flag.
   *
   * @param message the message
   * @return the flag
   */
  public static SoftRecord decode(FlagMessage message) {
    return new SoftRecord.Flag(
        SoftRecord.Flag.Kind.values()[message.getKind()],
        message.getId(),
        message.getIncarnation(),
        new Stamp(message.getTerm(), message.getNumber()),
        message.getSet());
  }
}
