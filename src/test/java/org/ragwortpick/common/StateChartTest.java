package org.ragwortpick.common;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against charts that name undeclared states, and against undeclared transitions. */
public final class StateChartTest {

  @DataProvider
  Object[][] charts() {
    return new Object[][] {
      {"execution-record.json"}, {"data-centre.json"}, {"vm.json"}, {"upstream.json"}
    };
  }

  @Test(dataProvider = "charts")
  public void loadsBundledChart(String fileName) {
    StateChart.load(fileName);
  }

  @Test
  public void rejectsUndeclaredTransition() {
    StateChart chart = StateChart.load("execution-record.json");
    assertEquals(chart.next("DONE", "BEGIN"), Optional.empty());
    assertEquals(chart.next("PENDING", "FINISH_DONE"), Optional.of("DONE"));
  }

  @Test
  public void rejectsMissingFile() {
    assertThrows(IllegalArgumentException.class, () -> StateChart.load("absent.json"));
  }
}
