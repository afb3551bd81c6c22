package org.ragwortpick.config;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/** Guards against a conversion to documents and back that loses parts of a configuration. */
public final class ConfigurationDocumentsTest {

  @Test
  public void conversionPreservesInventoryRulesAndRevision() {
    Inventory inventory =
        new Inventory(
            "norte-es",
            List.of("norte-a", "norte-b"),
            List.of(
                new Service(
                    "tutor-lm",
                    ServiceKind.ENGINE,
                    16,
                    2,
                    2_000,
                    List.of(new Placement("norte-a", "tutor", "3", List.of("safety"), 2)))),
            List.of(new Pipeline("tutor", 3_000, List.of(new Stage("generate", "tutor-lm", 64)))),
            List.of(new Workspace("firm-1", 3)));
    Rules rules =
        new Rules(
            List.of("certificacion"), List.of("firm-1"), 5, Map.of("norte-b", DataCentreState.OUT));
    Configuration configuration = new Configuration(7, inventory, rules);

    Configuration copy =
        ConfigurationDocuments.fromDocuments(7, ConfigurationDocuments.toDocuments(configuration));

    assertEquals(copy.inventory(), inventory);
    assertEquals(copy.rules(), rules);
    assertEquals(copy.revision(), 7);
  }
}
