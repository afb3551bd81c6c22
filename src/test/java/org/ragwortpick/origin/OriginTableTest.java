package org.ragwortpick.origin;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.ragwortpick.common.ManualClock;
import org.testng.annotations.Test;

/** Guards against records that are wrong, and against memory that grows with requests. */
public final class OriginTableTest {

  private static final long LIFETIME_MS = 60_000;

  private final ManualClock clock = new ManualClock();

  static OriginKey key(String id) {
    return OriginKey.of(id).orElseThrow();
  }

  static OriginRecord origin(String id, String version, long lifetimeMs) {
    return new OriginRecord(key(id), version, lifetimeMs);
  }

  @Test
  public void recordIsFoundUntilItExpires() {
    OriginTable table = new OriginTable(10, clock);
    table.add(origin("r1", "4", LIFETIME_MS));
    clock.advanceMs(LIFETIME_MS - 1);
    assertEquals(table.find(key("r1")), new OriginAnswer.Known("4"));
    clock.advanceMs(1);
    assertEquals(table.find(key("r1")), new OriginAnswer.Unknown());
  }

  @Test
  public void expiredRecordsAreDropped() {
    OriginTable table = new OriginTable(1_000, clock);
    for (int i = 0; i < 100; i++) {
      table.add(origin("r" + i, "4", LIFETIME_MS));
    }
    clock.advanceMs(LIFETIME_MS + 1_000);
    table.add(origin("last", "4", LIFETIME_MS));
    assertEquals(table.size(), 1);
  }

  @Test
  public void sameVersionRefreshesTheRecord() {
    OriginTable table = new OriginTable(10, clock);
    table.add(origin("r1", "4", LIFETIME_MS));
    clock.advanceMs(LIFETIME_MS / 2);
    table.add(origin("r1", "4", LIFETIME_MS));
    clock.advanceMs(LIFETIME_MS - 1);
    table.add(origin("r2", "4", LIFETIME_MS));
    assertEquals(table.find(key("r1")), new OriginAnswer.Known("4"));
    clock.advanceMs(1);
    assertEquals(table.find(key("r1")), new OriginAnswer.Unknown());
  }

  @Test
  public void earlierExpiryDoesNotShortenTheRecord() {
    OriginTable table = new OriginTable(10, clock);
    table.add(origin("r1", "4", LIFETIME_MS));
    table.add(origin("r1", "4", 1));
    clock.advanceMs(LIFETIME_MS - 1);
    assertEquals(table.find(key("r1")), new OriginAnswer.Known("4"));
  }

  @Test
  public void anotherVersionMakesTheRecordUnusableForGood() {
    OriginTable table = new OriginTable(10, clock);
    table.add(origin("r1", "4", LIFETIME_MS));
    table.add(origin("r1", "5", LIFETIME_MS));
    table.add(origin("r1", "4", LIFETIME_MS));
    assertEquals(table.find(key("r1")), new OriginAnswer.Contradictory());
  }

  @Test
  public void contradictionSurvivesTheCopyToAnotherTable() {
    OriginTable table = new OriginTable(10, clock);
    table.add(origin("r1", "4", LIFETIME_MS));
    table.add(origin("r1", "5", LIFETIME_MS));
    OriginTable copy = new OriginTable(10, clock);
    table.all().forEach(copy::add);
    assertEquals(copy.find(key("r1")), new OriginAnswer.Contradictory());
  }

  @Test
  public void whatExpiresFirstIsDroppedFirstBeyondTheLimit() {
    OriginTable table = new OriginTable(3, clock);
    table.add(origin("long", "4", 4 * LIFETIME_MS));
    table.add(origin("short", "4", LIFETIME_MS));
    table.add(origin("medium", "4", 2 * LIFETIME_MS));
    table.add(origin("new", "4", 3 * LIFETIME_MS));
    assertEquals(table.size(), 3);
    assertEquals(table.find(key("short")), new OriginAnswer.Unknown());
    for (String id : List.of("long", "medium", "new")) {
      assertEquals(table.find(key(id)), new OriginAnswer.Known("4"), id);
    }
  }

  @Test
  public void refreshedRecordIsNotDroppedForItsOldExpiry() {
    OriginTable table = new OriginTable(2, clock);
    table.add(origin("refreshed", "4", LIFETIME_MS));
    table.add(origin("other", "4", 2 * LIFETIME_MS));
    table.add(origin("refreshed", "4", 3 * LIFETIME_MS));
    table.add(origin("new", "4", 4 * LIFETIME_MS));
    assertEquals(table.find(key("refreshed")), new OriginAnswer.Known("4"));
    assertEquals(table.find(key("other")), new OriginAnswer.Unknown());
  }

  @Test
  public void numberStaysBoundedWhateverIsAdded() {
    OriginTable table = new OriginTable(100, clock);
    for (int i = 0; i < 5_000; i++) {
      table.add(origin("r" + i % 700, "v" + i, 1 + i * 37L % LIFETIME_MS));
      clock.advanceMs(i % 3);
      assertEquals(table.size() <= 100, true, "after " + i);
    }
  }

  @Test
  public void longIdsAndVersionsAreNotRecorded() {
    assertEquals(OriginKey.of("i".repeat(200)).isPresent(), true);
    assertEquals(OriginKey.of("i".repeat(201)).isPresent(), false);
    assertEquals(OriginKey.of("").isPresent(), false);
    OriginTable table = new OriginTable(10, clock);
    table.add(origin("r1", "v".repeat(200), LIFETIME_MS));
    table.add(origin("r2", "v".repeat(201), LIFETIME_MS));
    table.add(origin("r3", "4", 0));
    assertEquals(table.size(), 1);
  }
}
