package org.ragwortpick.origin;

import static org.ragwortpick.origin.OriginTableTest.key;
import static org.ragwortpick.origin.OriginTableTest.origin;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.entry.VirtualTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against records that reach no store although one lives, against versions that are not
 * certain, and against look-ups that end late, twice or never.
 */
public final class RemoteStreamOriginsTest {

  private static final long BATCH_DELAY_MS = RemoteStreamOrigins.BATCH_DELAY_MS;
  private static final int STORES = 5;
  private static final long LIFETIME_MS = 60_000;
  private static final long SETTLED_MS = 20_000;

  private VirtualTime time;
  private FakeOriginStores stores;
  private RemoteStreamOrigins writer;
  private RemoteStreamOrigins reader;

  @BeforeMethod
  public void createVms() {
    time = new VirtualTime();
    stores = new FakeOriginStores(time, STORES);
    writer = vm("10.0.1.1:1");
    reader = vm("10.0.1.2:1");
  }

  private RemoteStreamOrigins vm(String name) {
    return new RemoteStreamOrigins(
        name, stores::addresses, stores, BATCH_DELAY_MS, time, time.clock());
  }

  private void run(long durationMs) {
    time.runUntil(time.clock().millis() + durationMs);
  }

  private Found find(RemoteStreamOrigins vm, String id) {
    Found found = new Found();
    long startedAtMs = time.clock().millis();
    vm.find(
        id,
        version -> {
          found.versions.add(version);
          found.durationMs = time.clock().millis() - startedAtMs;
        });
    return found;
  }

  /** Callbacks of one look-up. */
  private static final class Found {

    private final List<Optional<String>> versions = new ArrayList<>();
    private long durationMs = Long.MAX_VALUE;
  }

  private void assertFound(Found found, Optional<String> expected, long withinMs) {
    run(SETTLED_MS);
    assertEquals(found.versions, List.of(expected));
    assertTrue(found.durationMs <= withinMs, "took " + found.durationMs + " ms");
  }

  @Test
  public void recordReachesTwoStoresAndOtherVms() {
    writer.record("r1", "4", LIFETIME_MS);
    run(BATCH_DELAY_MS + 2);
    assertEquals(stores.holding(key("r1")).size(), 2);
    assertFound(find(reader, "r1"), Optional.of("4"), 2);
  }

  @Test
  public void ownRecordIsFoundAtOnceWithoutCalls() {
    writer.record("r1", "4", LIFETIME_MS);
    assertEquals(find(writer, "r1").versions, List.of(Optional.of("4")));
    assertEquals(stores.findCalls(), 0);
  }

  @Test
  public void recordSurvivesTheLossOfOneOfItsStores() {
    writer.record("r1", "4", LIFETIME_MS);
    run(1_000);
    stores.holding(key("r1")).get(0).setMode(FakeOriginStores.Mode.SILENT);
    assertFound(find(reader, "r1"), Optional.of("4"), 2 + OriginLookups.CONTRADICTION_WAIT_MS);
  }

  @Test
  public void nextStoreTakesTheRecordIfTheChosenOnesFail() {
    writer.record("r1", "4", LIFETIME_MS);
    run(1_000);
    stores.holding(key("r1")).get(0).setMode(FakeOriginStores.Mode.REFUSING);
    stores.holding(key("r1")).get(1).setMode(FakeOriginStores.Mode.SILENT);
    writer.record("r2", "4", LIFETIME_MS);
    run(BATCH_DELAY_MS + FakeOriginStores.CALL_TIMEOUT_MS + 4);
    assertEquals(stores.holding(key("r2")).size(), 2);
  }

  @Test
  public void storeThatDoesNotReplyDelaysOnlyTheFirstRecords() {
    writer.record("r1", "4", LIFETIME_MS);
    run(1_000);
    stores.holding(key("r1")).forEach(store -> store.setMode(FakeOriginStores.Mode.SILENT));
    writer.record("r2", "4", LIFETIME_MS);
    run(1_000);
    writer.record("r3", "4", LIFETIME_MS);
    run(BATCH_DELAY_MS + 2);
    assertEquals(stores.holding(key("r3")).size(), 2);
  }

  @Test
  public void recordsWaitUntilAStoreCanBeReached() {
    stores.all().forEach(store -> store.setMode(FakeOriginStores.Mode.SILENT));
    writer.record("r1", "4", LIFETIME_MS);
    run(30_000);
    assertEquals(find(writer, "r1").versions, List.of(Optional.of("4")));
    stores.all().forEach(store -> store.setMode(FakeOriginStores.Mode.REPLYING));
    run(5_000);
    assertEquals(stores.holding(key("r1")).size(), 2);
  }

  @Test
  public void withoutAnyControlVmLookUpEndsEmptyInTime() {
    writer.record("r1", "4", LIFETIME_MS);
    run(1_000);
    stores.all().forEach(store -> store.setMode(FakeOriginStores.Mode.SILENT));
    assertFound(find(reader, "r1"), Optional.empty(), OriginLookups.TIMEOUT_MS);
    stores.all().forEach(store -> store.setMode(FakeOriginStores.Mode.REFUSING));
    assertFound(find(reader, "r1"), Optional.empty(), 2);
  }

  @Test
  public void withoutKnownStoresLookUpEndsEmptyAtOnce() {
    RemoteStreamOrigins lonely =
        new RemoteStreamOrigins(
            "10.0.1.3:1", List::<HostPort>of, stores, BATCH_DELAY_MS, time, time.clock());
    lonely.record("r1", "4", LIFETIME_MS);
    run(10_000);
    assertEquals(find(lonely, "r2").versions, List.of(Optional.empty()));
  }

  @Test
  public void unknownIdIsEmptyOnceAllHaveReplied() {
    assertFound(find(reader, "invented"), Optional.empty(), 2);
    assertEquals(stores.findCalls(), STORES);
  }

  @Test
  public void contradictingRepliesGiveEmpty() {
    stores.store(0).table().add(origin("r1", "4", LIFETIME_MS));
    stores.store(1).table().add(origin("r1", "5", LIFETIME_MS));
    stores.store(1).setDelayMs(15);
    assertFound(find(reader, "r1"), Optional.empty(), 15);
  }

  @Test
  public void contradictionWithinOneStoreGivesEmpty() {
    stores.store(0).table().add(origin("r1", "4", LIFETIME_MS));
    stores.store(1).table().add(origin("r1", "4", LIFETIME_MS));
    stores.store(1).table().add(origin("r1", "5", LIFETIME_MS));
    assertFound(find(reader, "r1"), Optional.empty(), 2);
  }

  @Test
  public void contradictionOfOwnRecordsGivesEmpty() {
    writer.record("r1", "4", LIFETIME_MS);
    writer.record("r1", "5", LIFETIME_MS);
    assertEquals(find(writer, "r1").versions, List.of(Optional.empty()));
    run(1_000);
    assertFound(find(reader, "r1"), Optional.empty(), 2);
  }

  @Test
  public void lookUpIsAnsweredOnceWhateverTheOrderOfReplies() {
    for (int slow = 0; slow < STORES; slow++) {
      for (long delayMs : new long[] {1, 19, 20, 21, 299, 300, 301, 1_000}) {
        createVms();
        writer.record("r1", "4", LIFETIME_MS);
        run(1_000);
        stores.store(slow).setDelayMs(delayMs);
        Found known = find(reader, "r1");
        Found unknown = find(reader, "r2");
        run(SETTLED_MS);
        assertEquals(known.versions, List.of(Optional.of("4")));
        assertEquals(unknown.versions, List.of(Optional.empty()));
        assertTrue(unknown.durationMs <= OriginLookups.TIMEOUT_MS);
      }
    }
  }

  @Test
  public void numberOfLookUpsIsBounded() {
    stores.all().forEach(store -> store.setMode(FakeOriginStores.Mode.SILENT));
    List<Found> found =
        IntStream.range(0, OriginLookups.MAX_IN_PROGRESS + 50)
            .mapToObj(i -> find(reader, "invented" + i))
            .toList();
    assertEquals(stores.findCalls(), OriginLookups.MAX_IN_PROGRESS * STORES);
    run(SETTLED_MS);
    found.forEach(each -> assertEquals(each.versions, List.of(Optional.empty())));
    find(reader, "next");
    assertEquals(stores.findCalls(), (OriginLookups.MAX_IN_PROGRESS + 1) * STORES);
  }

  @Test
  public void recordsOfOneMomentShareABatch() {
    for (int i = 0; i < 2 * OriginSender.MAX_BATCH_RECORDS; i++) {
      writer.record("r" + i, "4", LIFETIME_MS);
    }
    run(1_000);
    assertEquals(stores.recordCalls(), 4);
    assertEquals(stores.largestBatch(), OriginSender.MAX_BATCH_RECORDS);
  }

  @Test
  public void queueDropsItsOldestRecordsBeyondTheLimit() {
    stores.all().forEach(store -> store.setMode(FakeOriginStores.Mode.SILENT));
    int count = OriginSender.MAX_QUEUED + 100_000;
    for (int i = 0; i < count; i++) {
      writer.record("r" + i, "4", LIFETIME_MS);
    }
    int limit =
        OriginSender.MAX_QUEUED
            + OriginSender.MAX_BATCHES_IN_FLIGHT * OriginSender.MAX_BATCH_RECORDS;
    run(30_000);
    stores.all().forEach(store -> store.setMode(FakeOriginStores.Mode.REPLYING));
    run(30_000);
    int received = stores.all().stream().mapToInt(store -> store.received().size()).sum();
    assertTrue(received <= 2 * limit, received + " records were received");
    assertEquals(stores.holding(key("r" + (count - 1))).size(), 2, "the newest is kept");
    assertEquals(stores.holding(key("r0")).size(), 0, "the oldest is dropped");
  }

  @Test
  public void recordsOfManyVmsSpreadOverTheStores() {
    int vms = 340;
    for (int i = 0; i < vms; i++) {
      vm("10.0.2." + i % 250 + ":" + (1_000 + i)).record("r" + i, "4", LIFETIME_MS);
    }
    run(1_000);
    for (FakeOriginStores.Store store : stores.all()) {
      int records = store.received().size();
      assertTrue(records > vms / STORES && records < 4 * vms / STORES, records + " records");
    }
  }

  @Test
  public void longIdsAreNeitherRecordedNorLookedUp() {
    String id = "i".repeat(201);
    writer.record(id, "4", LIFETIME_MS);
    writer.record("r1", "v".repeat(201), LIFETIME_MS);
    run(1_000);
    assertEquals(stores.recordCalls(), 0);
    assertEquals(find(writer, id).versions, List.of(Optional.empty()));
    assertEquals(stores.findCalls(), 0);
  }
}
