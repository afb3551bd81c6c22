package org.ragwortpick.sync.view;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.logging.RecordedLines;
import org.ragwortpick.sync.ConfigurationDelta;
import org.testng.annotations.Test;

/** Guards against a change of the data centres out of service that leaves no line on a VM. */
public final class DataCentreChangeLogTest {

  private final ManualClock clock = new ManualClock();
  private final SyncedConfiguration view = new SyncedConfiguration(clock);

  private void accept(long revision, long ageMs, Map<String, String> puts, List<String> deletes) {
    view.accept(
        new ConfigurationDelta(revision - 1, revision, false, new TreeMap<>(puts), deletes),
        clock.millis() - ageMs);
  }

  @Test
  public void eachChangeOfTheDataCentresOutOfServiceIsLogged() {
    clock.advanceMs(10_000);
    try (RecordedLines recorded =
        new RecordedLines(
            DataCentreChangeLog.class.getName(), "data centres out of service changed")) {
      accept(1, 0, Map.of("dataCentre/north", "\"IN\""), List.of());
      accept(2, 40, Map.of("dataCentre/north", "\"OUT\""), List.of());
      accept(3, 0, Map.of("dataCentre/south", "\"PREPARING\""), List.of());
      accept(4, 7, Map.of("dataCentre/north", "\"RETURNING\""), List.of());
      assertEquals(
          recorded.lines(),
          List.of(
              Map.of(
                  "revision", "2",
                  "revisionBefore", "1",
                  "out", "north",
                  "outBefore", "",
                  "confirmationAgeMs", "40"),
              Map.of(
                  "revision", "4",
                  "revisionBefore", "3",
                  "out", "",
                  "outBefore", "north",
                  "confirmationAgeMs", "7")));
    }
  }
}
