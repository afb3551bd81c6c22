package org.ragwortpick.admin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Clock;
import java.util.List;
import java.util.function.Supplier;
import org.ragwortpick.common.Json;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.config.Service;
import org.ragwortpick.consensus.GroupStatus;
import org.ragwortpick.sync.ConfigurationView;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamDirectory;
import org.ragwortpick.sync.VmDirectory;
import org.ragwortpick.sync.VmRecord;
import org.ragwortpick.sync.VmState;

/** State of the system as seen by the local VM. */
public final class VmStatus {

  private final Clock clock;
  private final Supplier<VmRecord> localVm;
  private final ConfigurationView view;
  private final VmDirectory vms;
  private final UpstreamDirectory upstreams;
  private final Supplier<List<GroupStatus>> groups;

  /**
   * Creates the status of the local VM.
   *
   * @param clock monotonic clock
   * @param localVm supplies the record of the local VM
   * @param view configuration view
   * @param vms VM directory
   * @param upstreams upstream directory
   * @param groups supplies the states of the local consensus replicas; none without the control
   *     role
   */
  public VmStatus(
      Clock clock,
      Supplier<VmRecord> localVm,
      ConfigurationView view,
      VmDirectory vms,
      UpstreamDirectory upstreams,
      Supplier<List<GroupStatus>> groups) {
    this.clock = clock;
    this.localVm = localVm;
    this.view = view;
    this.vms = vms;
    this.upstreams = upstreams;
    this.groups = groups;
  }

  /**
   * Returns whether the VM may serve callers.
   *
   * @return true if it is ready and its configuration is in force
   */
  public boolean isReady() {
    return localVm.get().state() == VmState.READY && view.isInForce();
  }

  /**
   * Returns the current configuration.
   *
   * @return the configuration currently held by the VM
   */
  Configuration configuration() {
    return view.current();
  }

  /**
   * Returns the time since the configuration was last confirmed.
   *
   * @return time in milliseconds; -1 before the first confirmation
   */
  long confirmedAgeMs() {
    return view.confirmedAtMs() == 0 ? -1 : clock.millis() - view.confirmedAtMs();
  }

  /**
   * Returns the states of the local replicas.
   *
   * @return one state for each consensus group
   */
  List<GroupStatus> groups() {
    return groups.get();
  }

  /**
   * Returns the state as a JSON object.
   *
   * @return JSON object
   */
  ObjectNode describe() {
    Configuration configuration = view.current();
    ObjectNode json = Json.MESSAGES.createObjectNode();
    json.put("vm", localVm.get().vm());
    json.put("state", localVm.get().state().name());
    json.put("revision", configuration.revision());
    json.put("inForce", view.isInForce());
    json.put("confirmedAgeMs", confirmedAgeMs());
    ObjectNode dataCentres = json.putObject("dataCentres");
    for (String name : configuration.inventory().dataCentres()) {
      dataCentres.put(name, configuration.stateOf(name).name());
    }
    ArrayNode vmList = json.putArray("vms");
    vms.vms().forEach(vm -> describe(vmList.addObject(), vm));
    ArrayNode upstreamList = json.putArray("upstreams");
    for (Service service : configuration.inventory().services()) {
      upstreams.upstreams(service.name()).forEach(u -> describe(upstreamList.addObject(), u));
    }
    ArrayNode groupList = json.putArray("consensusGroups");
    groups.get().forEach(group -> describe(groupList.addObject(), group));
    return json;
  }

  private static void describe(ObjectNode json, VmRecord vm) {
    json.put("vm", vm.vm());
    json.put("dataCentre", vm.dataCentre());
    json.put("callerAddress", vm.callerAddress().toString());
    json.put("state", vm.state().name());
    json.put("load", vm.load());
  }

  private static void describe(ObjectNode json, Upstream upstream) {
    json.put("id", upstream.id());
    json.put("service", upstream.service());
    json.put("dataCentre", upstream.dataCentre());
    json.put("address", upstream.address().toString());
    json.put("state", upstream.state().name());
    json.put("model", upstream.model());
    json.put("version", upstream.version());
    json.put("load", upstream.load());
    json.put("slots", upstream.slots());
  }

  private static void describe(ObjectNode json, GroupStatus group) {
    json.put("group", group.group());
    json.put("identity", group.identity());
    json.put("role", group.role());
    json.put("term", group.term());
    json.put("leader", group.leaderVm().orElse(""));
    json.put("commitIndex", group.commitIndex());
    json.put("appliedIndex", group.appliedIndex());
    json.put("lastIndex", group.lastIndex());
    json.set("voters", Json.MESSAGES.valueToTree(group.voters()));
    json.set("learners", Json.MESSAGES.valueToTree(group.learners()));
    json.put("storageFailed", group.failure().orElse(""));
  }
}
