package org.ragwortpick.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Guards against duplicate bookings, false outcomes and lost records when real VM processes are
 * killed, suspended or lose their disk, which tests with fakes do not cover. The tests share one
 * deployment and run in order of priority.
 */
public final class ProcessFailureTest {

  private static final String CONFIGURATION =
      """
      {"requestId": "first", "baseRevision": 0,
       "inventory": {
         "region": "test", "dataCentres": ["a", "b", "c"],
         "services": [
           {"name": "booking", "kind": "PLAIN", "slots": 16, "coldLimit": 8, "rampStepMs": 100,
            "placements": []},
           {"name": "search", "kind": "RETRIEVER", "slots": 16, "coldLimit": 8, "rampStepMs": 100,
            "placements": []},
           {"name": "lm", "kind": "ENGINE", "slots": 16, "coldLimit": 8, "rampStepMs": 100,
            "placements": []}],
         "pipelines": [{"name": "quote", "deadlineMs": 5000, "stages": [
           {"name": "retrieve", "service": "search", "maxTokens": 0},
           {"name": "generate", "service": "lm", "maxTokens": 64}]}],
         "workspaces": [{"name": "w1", "weight": 1}]},
       "rules": {"neverTwice": ["booking"], "workspaceOrder": [], "minimumSharePercent": 5}}
      """;

  /** Time after which a data centre that was taken out must receive no new work. */
  private static final long TAKE_OUT_BOUND_MS = 5_000;

  private DeploymentUnderTest deployment;

  @BeforeClass
  public void startDeployment() throws Exception {
    deployment = new DeploymentUnderTest();
    VmUnderTest first = deployment.vms().get(0);
    VmUnderTest entry = deployment.vm("entry-4");
    deployment.await("5 ready VMs, 3 voters", 60_000, () -> isComplete(first, 5, 3));
    deployment.post(first.adminAddress(), "/admin/v1/configuration", CONFIGURATION).join();
    deployment.await(
        "all upstreams on all VMs",
        20_000,
        () -> deployment.vms().stream().allMatch(vm -> upstreams(vm) == 9));
    // A new leader grants no slots of cold upstreams until the leases of its predecessor have
    // expired.
    AtomicInteger attempts = new AtomicInteger();
    deployment.await(
        "the first booking", 30_000, () -> isBooked(entry, "first-" + attempts.incrementAndGet()));
  }

  @AfterClass(alwaysRun = true)
  public void stopDeployment() throws InterruptedException {
    if (deployment != null) {
      deployment.close();
    }
  }

  @Test(priority = 1)
  public void bookingSentToTwoVmsRunsOnce() {
    var first = deployment.book(deployment.vms().get(3), "two-vms");
    var second = deployment.book(deployment.vms().get(4), "two-vms");
    assertTrue(first.join().status() == 200 || second.join().status() == 200);
    assertEquals(deployment.executionsOf("two-vms"), 1);
  }

  @Test(priority = 2)
  public void killedLeaderCausesNoDuplicateBookingAndNoFalseOutcome() throws Exception {
    VmUnderTest queried = deployment.vms().get(0);
    VmUnderTest leader = deployment.leader(queried, "executions-0");
    VmUnderTest entry = deployment.vm("entry-4");
    List<CompletableFuture<DeploymentUnderTest.Response>> responses = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      responses.add(deployment.book(entry, "kill-" + i));
      if (i == 10) {
        leader.kill();
      }
      deployment.pause(50);
    }
    for (int i = 0; i < responses.size(); i++) {
      assertOutcomeMatchesExecutions(responses.get(i).join(), "kill-" + i);
    }
    AtomicInteger attempts = new AtomicInteger();
    deployment.await(
        "bookings with a new leader",
        5_000,
        () -> isBooked(entry, "after-kill-" + attempts.incrementAndGet()));
    leader.start();
    VmUnderTest other = deployment.vms().get(leader == queried ? 1 : 0);
    deployment.await("the killed VM rejoined", 30_000, () -> isComplete(other, 5, 3));
  }

  @Test(priority = 3)
  public void suspendedVmNeverRunsBookingTwice() throws Exception {
    VmUnderTest entry = deployment.vm("entry-3");
    List<CompletableFuture<DeploymentUnderTest.Response>> responses = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      responses.add(deployment.book(entry, "freeze-" + i));
      deployment.pause(30);
    }
    entry.suspend();
    List<DeploymentUnderTest.Response> resent = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      resent.add(deployment.book(deployment.vm("entry-4"), "freeze-" + i).join());
    }
    deployment.pause(2_000);
    entry.resume();
    responses.forEach(CompletableFuture::join);
    deployment.pause(1_000);
    for (int i = 0; i < 10; i++) {
      String key = "freeze-" + i;
      assertTrue(deployment.executionsOf(key) <= 1, key + " ran twice");
      assertOutcomeMatchesExecutions(resent.get(i), key);
    }
  }

  @Test(priority = 4)
  public void vmWithLostDiskJoinsWithNewIdentityAndRecordsSurvive() throws Exception {
    DeploymentUnderTest.Response kept = deployment.book(deployment.vm("entry-4"), "kept").join();
    assertEquals(kept.status(), 200, kept + " " + deployment.state(deployment.vm("entry-4")));
    VmUnderTest lost = deployment.vm("control-2");
    VmUnderTest queried = deployment.vm("control-1");
    String oldIdentity = identity(lost);
    lost.kill();
    lost.deleteDataFolder();
    lost.start();
    deployment.await(
        "the VM with the new identity is a voter",
        30_000,
        () -> isComplete(queried, 5, 3) && !voters(queried).contains(oldIdentity));
    assertNotEquals(identity(lost), oldIdentity);
    VmUnderTest second = deployment.vm("control-0");
    second.kill();
    AtomicInteger attempts = new AtomicInteger();
    deployment.await(
        "bookings after the second control VM was killed",
        5_000,
        () -> isBooked(lost, "after-loss-" + attempts.incrementAndGet()));
    DeploymentUnderTest.Response repeated =
        deployment.book(deployment.vm("entry-4"), "kept").join();
    assertEquals(repeated.status(), 200, repeated.body().toString());
    assertEquals(deployment.executionsOf("kept"), 1);
    second.start();
    deployment.await("the second VM rejoined", 30_000, () -> isComplete(queried, 5, 3));
  }

  @Test(priority = 5)
  public void suspendedControlVmDoesNotRevertTakeOut() throws Exception {
    VmUnderTest suspended = deployment.vm("control-2");
    VmUnderTest queried = deployment.vm("control-1");
    suspended.suspend();
    deployment.await("a take-out without the suspended VM", 10_000, () -> takeOut(queried, "a"));
    deployment.pause(TAKE_OUT_BOUND_MS);
    long before = deployment.executionsIn("a");
    suspended.resume();
    for (int i = 0; i < 20; i++) {
      deployment.requestQuote(suspended, "thaw-" + i).join();
    }
    assertEquals(
        deployment.executionsIn("a"), before, "work in the data centre after its take-out");
    deployment.await(
        "the suspended VM knows the take-out",
        TAKE_OUT_BOUND_MS,
        () -> deployment.state(suspended).path("dataCentres").path("a").asText().equals("OUT"));
    deployment
        .post(queried.adminAddress(), "/admin/v1/data-centres/a/return", "{\"requestId\":\"r\"}")
        .join();
  }

  @Test(priority = 6)
  public void gracefulStopAbortsNoRequest() throws Exception {
    VmUnderTest leaving = deployment.vm("entry-3");
    deployment.await("the VM serves", 10_000, () -> isQuoted(leaving, "serves"));
    List<CompletableFuture<DeploymentUnderTest.Response>> responses = new ArrayList<>();
    deployment.post(leaving.adminAddress(), "/admin/v1/vm/stop", "{}").join();
    for (int i = 0; i < 30; i++) {
      responses.add(deployment.requestQuote(leaving, "stop-" + i));
      deployment.pause(100);
    }
    for (var response : responses) {
      assertEquals(response.join().status(), 200, response.join().body().toString());
    }
    assertEquals(leaving.awaitExit(15_000), 0);
  }

  private void assertOutcomeMatchesExecutions(DeploymentUnderTest.Response response, String key) {
    long executions = deployment.executionsOf(key);
    assertTrue(executions <= 1, key + " ran " + executions + " times");
    if (response.status() == 200) {
      assertEquals(executions, 1, key + " got status 200 but did not run");
    }
    if (response.execution().equals("not_run")) {
      assertEquals(executions, 0, key + " was reported as not run, but ran");
    }
  }

  private boolean isBooked(VmUnderTest vm, String key) {
    return deployment.book(vm, key).join().status() == 200;
  }

  private boolean isQuoted(VmUnderTest vm, String marker) {
    return deployment.requestQuote(vm, marker).join().status() == 200;
  }

  private boolean takeOut(VmUnderTest vm, String dataCentre) {
    String path = "/admin/v1/data-centres/" + dataCentre + "/take-out";
    return deployment
            .post(vm.adminAddress(), path, "{\"requestId\":\"out\",\"now\":true}")
            .join()
            .status()
        == 200;
  }

  private boolean isComplete(VmUnderTest vm, int ready, int voters) {
    JsonNode state = deployment.state(vm);
    long readyVms = 0;
    for (JsonNode entry : state.path("vms")) {
      readyVms += entry.path("state").asText().equals("READY") ? 1 : 0;
    }
    JsonNode groups = state.path("consensusGroups");
    boolean complete = !groups.isEmpty();
    for (JsonNode group : groups) {
      complete &= group.path("voters").size() == voters;
      complete &= !group.path("leader").asText().isEmpty();
    }
    return readyVms >= ready && complete;
  }

  private long upstreams(VmUnderTest vm) {
    return deployment.state(vm).path("upstreams").size();
  }

  private String identity(VmUnderTest vm) {
    return deployment.state(vm).path("consensusGroups").path(0).path("identity").asText();
  }

  private String voters(VmUnderTest vm) {
    StringBuilder voters = new StringBuilder();
    for (JsonNode group : deployment.state(vm).path("consensusGroups")) {
      voters.append(group.path("voters"));
    }
    return voters.toString();
  }
}
