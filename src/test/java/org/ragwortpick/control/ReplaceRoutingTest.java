package org.ragwortpick.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.util.Optional;
import org.ragwortpick.config.DataCentreState;
import org.ragwortpick.routing.RoutingConfiguration;
import org.ragwortpick.routing.RoutingFixture;
import org.testng.annotations.Test;

/** Guards against routes that are replaced by a configuration with an equal or lower number. */
public final class ReplaceRoutingTest {

  private final ControlFixture fixture = new ControlFixture();

  private Either<AdministrationError, AcceptedChange> replace(long number, String prefix) {
    RoutingConfiguration routing =
        RoutingFixture.configuration(number, RoutingFixture.route("r", "a.example", prefix, "s1"));
    return ControlFixture.get(
        fixture.administration().replaceRouting(routing, ControlFixture.TIMEOUT_MS));
  }

  private String prefix() {
    Optional<RoutingConfiguration> routing = fixture.machine().current().configuration().routing();
    return routing.orElseThrow().routes().get(0).pathPrefix();
  }

  @Test
  public void equalOrLowerNumberIsAcknowledgedWithoutEffect() {
    assertTrue(replace(5, "/five/").isRight());
    assertTrue(replace(3, "/three/").isRight());
    assertEquals(prefix(), "/five/");
    assertTrue(replace(5, "/other/").isRight());
    assertEquals(prefix(), "/five/");
    assertTrue(replace(9, "/nine/").isRight());
    assertTrue(replace(5, "/five/").isRight());
    assertEquals(prefix(), "/nine/");
  }

  @Test
  public void invalidConfigurationChangesNothing() {
    ControlFixture control = new ControlFixture();
    RoutingConfiguration invalid =
        RoutingFixture.configuration(1, RoutingFixture.route("r", "a.example", "/x/", "absent"));
    assertTrue(
        ControlFixture.get(
                control.administration().replaceRouting(invalid, ControlFixture.TIMEOUT_MS))
            .isLeft());
    assertEquals(control.machine().current().revision(), 0);
  }

  @Test
  public void takeOutAndReturnKeepRoutes() {
    ControlFixture control = new ControlFixture();
    RoutingConfiguration routing =
        RoutingFixture.configuration(1, RoutingFixture.route("r", "a.example", "/x/", "s1"));
    ControlFixture.get(control.administration().replaceRouting(routing, ControlFixture.TIMEOUT_MS));
    ControlFixture.get(
            control
                .administration()
                .takeOut(new TakeOutRequest("t", "norte-a", true), ControlFixture.TIMEOUT_MS))
        .get();
    assertEquals(
        control.machine().current().configuration().stateOf("norte-a"), DataCentreState.OUT);
    assertEquals(control.machine().current().configuration().routing(), Optional.of(routing));
    ControlFixture.get(
            control
                .administration()
                .returnToService(new ReturnRequest("b", "norte-a"), ControlFixture.TIMEOUT_MS))
        .get();
    assertEquals(
        control.machine().current().configuration().stateOf("norte-a"), DataCentreState.IN);
    assertEquals(control.machine().current().configuration().routing(), Optional.of(routing));
  }

  @Test
  public void readWaitsForConfirmationAfterItsStart() {
    ControlFixture control = new ControlFixture();
    // A lease confirmed 100 ms ago is valid, but a suspension may have followed the confirmation.
    control.group().setConfirmationAgeMs(100);
    assertTrue(control.lease().isHeld());
    long startMs = control.clock().millis();
    assertTrue(
        ControlFixture.get(control.administration().read(ControlFixture.TIMEOUT_MS)).isRight());
    assertTrue(control.clock().millis() - startMs > 100);
  }
}
