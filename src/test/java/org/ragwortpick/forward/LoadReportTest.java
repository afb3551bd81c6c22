package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;

import java.util.Optional;
import java.util.OptionalDouble;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against load reports that are ignored as a whole because of a part that is not needed. */
public final class LoadReportTest {

  @DataProvider
  public Object[][] reports() {
    return new Object[][] {
      {"64,90,64", OptionalDouble.empty()},
      {"64, 90, 64, 182.5", OptionalDouble.of(182.5)},
      {"64,90,64,100,7,x", OptionalDouble.of(100)},
      {"64,90,64,", OptionalDouble.empty()},
      {"64,90,64,fast", OptionalDouble.empty()},
      {"64,90,64,0", OptionalDouble.empty()},
      {"64,90,64,-100", OptionalDouble.empty()},
      {"64,90,64,NaN", OptionalDouble.empty()},
      {"64,90,64,Infinity", OptionalDouble.empty()},
      {"64,90,64,1e999", OptionalDouble.empty()},
    };
  }

  @Test(dataProvider = "reports")
  public void firstThreeFiguresCountWhateverFollows(String text, OptionalDouble workTimePercent) {
    LoadReport report = LoadReport.parse(text).orElseThrow();
    assertEquals(report, new LoadReport(64, 90, 64, workTimePercent));
    assertEquals(report.totalRequests(), 154);
  }

  @DataProvider
  public Object[][] unreadable() {
    return new Object[][] {{null}, {""}, {"64"}, {"64,90"}, {"64,x,64,100"}, {"64,-1,64,100"}};
  }

  @Test(dataProvider = "unreadable")
  public void reportWithoutThreeFiguresIsEmpty(String text) {
    assertEquals(LoadReport.parse(text), Optional.empty());
  }
}
