package org.ragwortpick.sync.rpc;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Base64;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.zip.CRC32;
import java.util.zip.DeflaterOutputStream;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.proto.SyncResponse;
import org.ragwortpick.proto.TransferIdentity;
import org.ragwortpick.sync.FakeLeader;
import org.ragwortpick.sync.NoLeaderSource;
import org.ragwortpick.sync.SyncIdentity;
import org.ragwortpick.sync.SyncTimings;
import org.ragwortpick.sync.TestUpstreams;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamState;
import org.ragwortpick.sync.directory.SoftRecord;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a configuration received in parts that is confirmed as current when it is not, is
 * put together from different revisions, or never becomes complete, and against views that are
 * confirmed, or records that are lost, while records come in parts.
 */
public final class TransferTest {

  private static final int PART_BYTES = 1_000;
  private static final int TEXT_BYTES = 2_500;

  /** Their records fill more messages than the configuration. */
  private static final int UPSTREAMS = 60;

  /** More than the transfers that a source stores. */
  private static final int POLLING_VMS = 20;

  private final Random random = new Random(1);
  private ManualClock clock;
  private FakeLeader.Committed committed;
  private Vm leader;
  private Vm entry;

  /** Starts a leader with a configuration of three parts. */
  @BeforeMethod
  public void commitLargeConfiguration() {
    clock = new ManualClock();
    clock.advanceMs(100_000);
    committed = new FakeLeader.Committed();
    leader = leader("c1");
    entry = new Vm("e1", null);
    committed.commit("text", randomText());
  }

  @Test
  public void viewIsInForceOnceAllPartsArrived() {
    for (int part = 1; part <= 2; part++) {
      SyncResponse response = poll(entry, leader);
      assertTrue(response.getSerializedSize() < 2 * PART_BYTES);
      assertTrue(entry.exchange.sourceHasMore());
      assertFalse(entry.state.view().isInForce());
    }
    poll(entry, leader);
    assertFalse(entry.exchange.sourceHasMore());
    assertEquals(entry.revision(), 1);
    assertTrue(entry.state.view().isInForce());
    assertEquals(entry.exchange.lastReceipt().parts(), 3);
  }

  /** The transferred revision is no longer current when its last part arrives. */
  @Test
  public void supersededRevisionIsNotConfirmed() {
    poll(entry, leader);
    long confirmedAtMs = clock.millis();
    clock.advanceMs(300);
    committed.commit("dataCentre/norte-b", "\"OUT\"");
    poll(entry, leader);
    poll(entry, leader);
    assertEquals(entry.revision(), 1);
    assertEquals(entry.state.view().confirmedAtMs(), confirmedAtMs);
    assertTrue(entry.exchange.sourceHasMore());
    poll(entry, leader);
    assertEquals(entry.revision(), 2);
    assertEquals(entry.state.view().confirmedAtMs(), clock.millis());
  }

  @Test
  public void viewIsNotConfirmedByTheNewerRevisionOfWhichItGetsParts() {
    fetchAll();
    long confirmedAtMs = entry.state.view().confirmedAtMs();
    committed.commit("text", randomText());
    clock.advanceMs(SyncTimings.CONFIG_LEASE_MS - 1);
    poll(entry, leader);
    assertEquals(entry.state.view().confirmedAtMs(), confirmedAtMs);
    clock.advanceMs(1);
    assertFalse(entry.state.view().isInForce());
  }

  @Test
  public void anotherSourceContinuesTheTransfer() {
    Vm other = leader("c2");
    poll(entry, leader);
    poll(entry, other);
    poll(entry, leader);
    assertEquals(entry.revision(), 1);
    assertTrue(entry.state.view().isInForce());
  }

  /** A source that lags behind the transferred revision has nothing to continue it with. */
  @Test
  public void olderRevisionDoesNotReplaceTheTransfer() {
    committed.commit("text", randomText());
    Vm lagging = leader("c2");
    lagging.replica.applyUpTo(1);
    poll(entry, leader);
    poll(entry, lagging);
    assertFalse(entry.exchange.sourceHasMore());
    poll(entry, leader);
    poll(entry, leader);
    assertEquals(entry.revision(), 2);
  }

  /** The only source that had the newer revision is gone. */
  @Test
  public void transferWithoutProgressIsGivenUp() {
    committed.commit("text", randomText());
    poll(entry, leader);
    Vm lagging = leader("c2");
    lagging.replica.applyUpTo(1);
    clock.advanceMs(SyncTimings.TRANSFER_IDLE_MS);
    for (int part = 1; part <= 3; part++) {
      poll(entry, lagging);
    }
    assertEquals(entry.revision(), 1);
  }

  @Test
  public void damagedTransferStartsAgain() {
    poll(entry, leader);
    SyncExchange.Poll damaged = entry.exchange.poll(leader.address);
    SyncResponse response = leader.exchange.respond(damaged.request());
    ByteString zeros = ByteString.copyFrom(new byte[response.getPart().getData().size()]);
    SyncResponse.Builder changed = response.toBuilder();
    changed.getPartBuilder().setData(zeros);
    entry.exchange.accept(damaged, changed.build());
    SyncExchange.Poll last = entry.exchange.poll(leader.address);
    SyncResponse end = leader.exchange.respond(last.request());
    assertThrows(IllegalArgumentException.class, () -> entry.exchange.accept(last, end));
    assertEquals(entry.revision(), 0);
    fetchAll();
  }

  /** Small changes follow so closely that each VM begins its transfer at another revision. */
  @Test
  public void transfersOfManyVmsEndWhileTheRevisionMovesOn() {
    List<Vm> entries =
        IntStream.range(0, POLLING_VMS).mapToObj(i -> new Vm("many-" + i, null)).toList();
    for (int round = 1; round <= 4; round++) {
      for (Vm vm : entries) {
        committed.commit("dataCentre/norte-b", "\"OUT\"");
        clock.advanceMs(SyncTimings.MIN_POLL_INTERVAL_MS / POLLING_VMS);
        poll(vm, leader);
      }
    }
    for (Vm vm : entries) {
      poll(vm, leader);
      assertEquals(vm.revision(), committed.revision());
      assertTrue(vm.state.view().isInForce());
    }
  }

  /** The other source stores a transfer up to the revision before, which another VM began. */
  @Test
  public void anotherSourceContinuesTheTransferOfTheNewerRevision() {
    Vm other = leader("c2");
    poll(new Vm("e2", null), other);
    committed.commit("dataCentre/norte-b", "\"OUT\"");
    poll(entry, leader);
    poll(entry, other);
    assertTrue(entry.exchange.sourceHasMore());
    poll(entry, leader);
    assertEquals(entry.revision(), 2);
    assertTrue(entry.state.view().isInForce());
  }

  /** A damaged or wrong length would let the parts of one transfer fill the heap. */
  @Test
  public void transferOfMoreBytesThanOneMessageIsRefused() {
    for (int totalBytes : new int[] {CompressedDelta.MAX_BYTES + 1, Integer.MIN_VALUE, -1}) {
      SyncExchange.Poll poll = entry.exchange.poll(leader.address);
      SyncResponse.Builder response = leader.exchange.respond(poll.request()).toBuilder();
      response.getPartBuilder().getIdentityBuilder().setTotalBytes(totalBytes);
      assertThrows(
          IllegalArgumentException.class, () -> entry.exchange.accept(poll, response.build()));
      assertFalse(entry.exchange.sourceHasMore());
    }
    fetchAll();
  }

  /** A few kilobytes may be decompressed to more than the heap. */
  @Test
  public void changesThatDecompressToMoreThanOneMessageAreRefused() throws IOException {
    ByteString.Output bytes = ByteString.newOutput();
    try (OutputStream compressed = new DeflaterOutputStream(bytes)) {
      // Field 100, which no release knows, with as many bytes as are written after its length.
      CodedOutputStream output = CodedOutputStream.newInstance(compressed);
      output.writeByteArray(100, new byte[CompressedDelta.MAX_BYTES]);
      output.flush();
    }
    CRC32 checksum = new CRC32();
    checksum.update(bytes.toByteString().toByteArray());
    TransferIdentity identity =
        TransferIdentity.newBuilder()
            .setRevision(1)
            .setSnapshot(true)
            .setTotalBytes(bytes.size())
            .setChecksum((int) checksum.getValue())
            .build();
    CompressedDelta delta = new CompressedDelta(identity, bytes.toByteString());
    assertThrows(IllegalArgumentException.class, delta::decompress);
  }

  /** VMs of the release before this one name no transfer in their requests. */
  @Test
  public void pollerThatAcceptsNoPartsGetsTheWholeConfiguration() {
    SyncExchange.Poll poll = entry.exchange.poll(leader.address);
    SyncResponse response =
        leader.exchange.respond(poll.request().toBuilder().clearTransfer().build());
    assertFalse(response.hasPart());
    assertEquals(response.getConfiguration().getPutsCount(), 1);
    entry.exchange.accept(poll, response);
    assertEquals(entry.revision(), 1);
    assertTrue(entry.state.view().isInForce());
  }

  /** Flags that the leader reset before may be among the records that are missing. */
  @Test
  public void viewIsNotConfirmedWhileRecordsAreMissing() {
    announce(leader);
    fetchConfiguration();
    assertEquals(entry.revision(), 1);
    while (poll(entry, leader).getRecordsIncomplete()) {
      assertFalse(entry.state.view().isInForce());
      assertTrue(entry.exchange.sourceHasMore());
    }
    assertTrue(entry.state.view().isInForce());
    assertEquals(announcedAt(entry), UPSTREAMS);
    assertEquals(poll(entry, leader).getRecords().getSerializedSize(), 0);
  }

  @Test
  public void recordsOfOneMessageAreLimited() {
    announce(leader);
    for (int i = 0; i < UPSTREAMS; i++) {
      assertTrue(poll(entry, leader).getRecords().getSerializedSize() <= PART_BYTES);
    }
    assertEquals(announcedAt(entry), UPSTREAMS);
  }

  /** The load of an upstream changes whose record has not been sent yet. */
  @Test
  public void changedLoadDoesNotReplaceTheMissingRecord() {
    announce(leader);
    poll(entry, leader);
    leader.state.upstreams().announce(upstream(UPSTREAMS - 1, 2, 9));
    leader.state.upstreams().announce(upstream(0, 2, 9));
    fetchConfiguration();
    while (poll(entry, leader).getRecordsIncomplete()) {
      assertTrue(entry.exchange.sourceHasMore());
    }
    assertEquals(announcedAt(entry), UPSTREAMS);
  }

  @Test
  public void offeredRecordsAreLimited() {
    announce(entry);
    boolean continues = true;
    for (int i = 0; i < UPSTREAMS && continues; i++) {
      SyncExchange.Poll poll = entry.exchange.poll(leader.address);
      assertTrue(poll.request().getRecords().getSerializedSize() <= PART_BYTES);
      entry.exchange.accept(poll, leader.exchange.respond(poll.request()));
      continues = entry.exchange.sourceHasMore();
    }
    assertEquals(announcedAt(leader), UPSTREAMS);
    SyncExchange.Poll next = entry.exchange.poll(leader.address);
    assertEquals(next.request().getRecords().getSerializedSize(), 0);
  }

  @Test
  public void pollerThatAcceptsNoPartsGetsAllRecords() {
    announce(leader);
    SyncExchange.Poll poll = entry.exchange.poll(leader.address);
    SyncResponse response =
        leader.exchange.respond(poll.request().toBuilder().clearTransfer().build());
    assertFalse(response.getRecordsIncomplete());
    assertEquals(response.getRecords().getUpstreamsCount(), UPSTREAMS);
  }

  private static void announce(Vm home) {
    for (int i = 0; i < UPSTREAMS; i++) {
      home.state.upstreams().announce(upstream(i, 1, 3));
    }
  }

  private static Upstream upstream(int index, long sequence, int load) {
    return TestUpstreams.upstream("engine-" + index, 1, sequence, UpstreamState.READY, load);
  }

  private static long announcedAt(Vm vm) {
    return vm.state.table().all().stream()
        .filter(record -> record instanceof SoftRecord.OfUpstream)
        .count();
  }

  private void fetchConfiguration() {
    for (int part = 1; part <= 3; part++) {
      poll(entry, leader);
    }
  }

  private void fetchAll() {
    fetchConfiguration();
    assertEquals(entry.revision(), committed.revision());
    assertTrue(entry.state.view().isInForce());
  }

  private static SyncResponse poll(Vm poller, Vm source) {
    SyncExchange.Poll poll = poller.exchange.poll(source.address);
    SyncResponse response = source.exchange.respond(poll.request());
    poller.exchange.accept(poll, response);
    return response;
  }

  private String randomText() {
    byte[] bytes = new byte[TEXT_BYTES];
    random.nextBytes(bytes);
    return Base64.getEncoder().encodeToString(bytes);
  }

  private Vm leader(String name) {
    FakeLeader replica = new FakeLeader(committed, clock::millis);
    replica.setLeadership(true, 1, name);
    return new Vm(name, replica);
  }

  private final class Vm {
    private final HostPort address;
    private final FakeLeader replica;
    private final SyncState state;
    private final SyncExchange exchange;

    Vm(String name, FakeLeader replica) {
      this.address = new HostPort("10.0.0.1", name.hashCode() & 0xfff);
      this.replica = replica;
      SyncIdentity identity =
          new SyncIdentity(name, 1, "norte-a", address, address, List.of(), List.of(), 0);
      state = new SyncState(identity, clock, () -> {});
      var source = replica == null ? new NoLeaderSource() : replica;
      exchange =
          new SyncExchange(
              clock, source, state, new LeaderDuties(clock, source, state), PART_BYTES);
    }

    long revision() {
      return state.view().current().revision();
    }
  }
}
