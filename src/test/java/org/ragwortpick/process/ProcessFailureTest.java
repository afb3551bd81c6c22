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
 * Guards against promises that hold with fakes but not between real processes: kills, freezes and
 * lost disks. The steps share one deployment and run in order.
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

  /** Stated bound after which a data centre that was taken out receives no new work. */
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
    // A new leader grants no places on cold upstreams until the leases of an older one have ended.
    AtomicInteger tries = new AtomicInteger();
    deployment.await(
        "the first booking", 30_000, () -> booked(entry, "first-" + tries.incrementAndGet()));
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
    assertEquals(deployment.runs("two-vms"), 1);
  }

  @Test(priority = 2)
  public void killedLeaderDoublesNoBookingAndRefusesTruthfully() throws Exception {
    VmUnderTest asked = deployment.vms().get(0);
    VmUnderTest leader = deployment.leader(asked, "executions-0");
    VmUnderTest entry = deployment.vm("entry-4");
    List<CompletableFuture<DeploymentUnderTest.Response>> answers = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      answers.add(deployment.book(entry, "kill-" + i));
      if (i == 10) {
        leader.kill();
      }
      deployment.pause(50);
    }
    for (int i = 0; i < answers.size(); i++) {
      checkTold(answers.get(i).join(), "kill-" + i);
    }
    AtomicInteger tries = new AtomicInteger();
    deployment.await(
        "bookings with a new leader",
        5_000,
        () -> booked(entry, "after-kill-" + tries.incrementAndGet()));
    leader.start();
    VmUnderTest other = deployment.vms().get(leader == asked ? 1 : 0);
    deployment.await("the killed VM is back", 30_000, () -> isComplete(other, 5, 3));
  }

  @Test(priority = 3)
  public void frozenVmNeverRunsBookingTwice() throws Exception {
    VmUnderTest entry = deployment.vm("entry-3");
    List<CompletableFuture<DeploymentUnderTest.Response>> answers = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      answers.add(deployment.book(entry, "freeze-" + i));
      deployment.pause(30);
    }
    entry.freeze();
    List<DeploymentUnderTest.Response> resent = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      resent.add(deployment.book(deployment.vm("entry-4"), "freeze-" + i).join());
    }
    deployment.pause(2_000);
    entry.resume();
    answers.forEach(CompletableFuture::join);
    deployment.pause(1_000);
    for (int i = 0; i < 10; i++) {
      String key = "freeze-" + i;
      assertTrue(deployment.runs(key) <= 1, key + " ran twice");
      checkTold(resent.get(i), key);
    }
  }

  @Test(priority = 4)
  public void lostDiskJoinsUnderNewIdentityAndSecondLossLosesNothing() throws Exception {
    DeploymentUnderTest.Response kept = deployment.book(deployment.vm("entry-4"), "kept").join();
    assertEquals(kept.status(), 200, kept + " " + deployment.state(deployment.vm("entry-4")));
    VmUnderTest lost = deployment.vm("control-2");
    VmUnderTest asked = deployment.vm("control-1");
    String oldIdentity = identity(lost);
    lost.kill();
    lost.loseDisk();
    lost.start();
    deployment.await(
        "the new identity votes",
        30_000,
        () -> isComplete(asked, 5, 3) && !voters(asked).contains(oldIdentity));
    assertNotEquals(identity(lost), oldIdentity);
    VmUnderTest second = deployment.vm("control-0");
    second.kill();
    AtomicInteger tries = new AtomicInteger();
    deployment.await(
        "bookings after the second loss",
        5_000,
        () -> booked(lost, "after-loss-" + tries.incrementAndGet()));
    DeploymentUnderTest.Response again = deployment.book(deployment.vm("entry-4"), "kept").join();
    assertEquals(again.status(), 200, again.body().toString());
    assertEquals(deployment.runs("kept"), 1);
    second.start();
    deployment.await("the second VM is back", 30_000, () -> isComplete(asked, 5, 3));
  }

  @Test(priority = 5)
  public void frozenControlVmDoesNotRevertTakeOut() throws Exception {
    VmUnderTest frozen = deployment.vm("control-2");
    VmUnderTest asked = deployment.vm("control-1");
    frozen.freeze();
    deployment.await("a take-out without the frozen VM", 10_000, () -> takeOut(asked, "a"));
    deployment.pause(TAKE_OUT_BOUND_MS);
    long before = deployment.executedIn("a");
    frozen.resume();
    for (int i = 0; i < 20; i++) {
      deployment.ask(frozen, "thaw-" + i).join();
    }
    assertEquals(deployment.executedIn("a"), before, "work in the data centre after its take-out");
    deployment.await(
        "the frozen VM knows the take-out",
        TAKE_OUT_BOUND_MS,
        () -> deployment.state(frozen).path("dataCentres").path("a").asText().equals("OUT"));
    deployment
        .post(asked.adminAddress(), "/admin/v1/data-centres/a/return", "{\"requestId\":\"r\"}")
        .join();
  }

  @Test(priority = 6)
  public void gracefulStopCutsOffNoRequest() throws Exception {
    VmUnderTest leaving = deployment.vm("entry-3");
    deployment.await("the VM serves", 10_000, () -> answered(leaving, "serves"));
    List<CompletableFuture<DeploymentUnderTest.Response>> answers = new ArrayList<>();
    deployment.post(leaving.adminAddress(), "/admin/v1/vm/stop", "{}").join();
    for (int i = 0; i < 30; i++) {
      answers.add(deployment.ask(leaving, "stop-" + i));
      deployment.pause(100);
    }
    for (var answer : answers) {
      assertEquals(answer.join().status(), 200, answer.join().body().toString());
    }
    assertEquals(leaving.awaitExit(15_000), 0);
  }

  private void checkTold(DeploymentUnderTest.Response answer, String key) {
    long runs = deployment.runs(key);
    assertTrue(runs <= 1, key + " ran " + runs + " times");
    if (answer.status() == 200) {
      assertEquals(runs, 1, key + " was answered but did not run");
    }
    if (answer.execution().equals("not_run")) {
      assertEquals(runs, 0, key + " was refused as not run, but ran");
    }
  }

  private boolean booked(VmUnderTest vm, String key) {
    return deployment.book(vm, key).join().status() == 200;
  }

  private boolean answered(VmUnderTest vm, String marker) {
    return deployment.ask(vm, marker).join().status() == 200;
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
