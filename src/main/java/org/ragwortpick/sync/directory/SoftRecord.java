package org.ragwortpick.sync.directory;

import java.util.Objects;
import org.ragwortpick.sync.CrashEvidence;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamLimit;
import org.ragwortpick.sync.UpstreamState;
import org.ragwortpick.sync.VmRecord;

/**
 * Soft-state record that VMs exchange and merge.
 *
 * <p>The merge is commutative, associative and idempotent, so that all VMs converge in whatever
 * order the records arrive.
 */
public sealed interface SoftRecord {

  /**
   * Returns the key of the record.
   *
   * @return key, unique over all kinds
   */
  String key();

  /**
   * Merges this record into the current one of the same key.
   *
   * @param current current record
   * @return the merged record; the current one itself if this record adds nothing
   */
  SoftRecord mergedInto(SoftRecord current);

  /**
   * Tells whether two records differ in sequence and load only.
   *
   * @param other other record of the same key
   * @return true if a load message is enough to turn one into the other
   */
  default boolean differsInLoadOnly(SoftRecord other) {
    return false;
  }

  /**
   * Record of a VM.
   *
   * @param record the record
   */
  record OfVm(VmRecord record) implements SoftRecord {

    /**
     * Returns the key of a VM record.
     *
     * @param vm name of the VM
     * @return the key
     */
    public static String keyOf(String vm) {
      return "v/" + vm;
    }

    @Override
    public String key() {
      return keyOf(record.vm());
    }

    @Override
    public SoftRecord mergedInto(SoftRecord current) {
      VmRecord other = ((OfVm) current).record();
      if (record.incarnation() != other.incarnation()) {
        return record.incarnation() > other.incarnation() ? this : current;
      }
      return record.sequence() > other.sequence() ? this : current;
    }
  }

  /**
   * Decision of the leader about one incarnation of a VM or an upstream.
   *
   * @param kind meaning of the flag
   * @param id name of the VM or identity of the upstream
   * @param incarnation incarnation that the decision concerns
   * @param stamp order of the decision
   * @param set whether the VM is lost or the upstream is warm
   */
  record Flag(Kind kind, String id, long incarnation, Stamp stamp, boolean set)
      implements SoftRecord {

    /** Meaning of a flag. */
    public enum Kind {
      /** No heartbeat of the VM arrived within the VM timeout. */
      VM_LOST,
      /** The upstream can run as many requests as it has slots. */
      UPSTREAM_WARM
    }

    /**
     * Returns the key of a flag.
     *
     * @param kind meaning of the flag
     * @param id name of the VM or identity of the upstream
     * @return the key
     */
    public static String keyOf(Kind kind, String id) {
      return (kind == Kind.VM_LOST ? "l/" : "w/") + id;
    }

    @Override
    public String key() {
      return keyOf(kind, id);
    }

    @Override
    public SoftRecord mergedInto(SoftRecord current) {
      return stamp.compareTo(((Flag) current).stamp()) > 0 ? this : current;
    }
  }

  /**
   * Evidence about what requests contain.
   *
   * @param evidence the evidence
   */
  record OfCrashEvidence(CrashEvidence evidence) implements SoftRecord {

    /**
     * Returns the key of the evidence about a content.
     *
     * @param service name of the service
     * @param content id of the content
     * @return the key
     */
    public static String keyOf(String service, String content) {
      return "c/" + service + "/" + content;
    }

    @Override
    public String key() {
      return keyOf(evidence.service(), evidence.content());
    }

    @Override
    public SoftRecord mergedInto(SoftRecord current) {
      CrashEvidence known = ((OfCrashEvidence) current).evidence();
      CrashEvidence merged = known.merge(evidence);
      return merged.equals(known) ? current : new OfCrashEvidence(merged);
    }
  }

  /**
   * Request rate that an upstream named.
   *
   * @param limit the limit
   */
  record OfUpstreamLimit(UpstreamLimit limit) implements SoftRecord {

    /**
     * Returns the key of the limit of an upstream.
     *
     * @param id identity of the upstream
     * @return the key
     */
    public static String keyOf(String id) {
      return "r/" + id;
    }

    @Override
    public String key() {
      return keyOf(limit.upstreamId());
    }

    @Override
    public SoftRecord mergedInto(SoftRecord current) {
      UpstreamLimit known = ((OfUpstreamLimit) current).limit();
      return known.merge(limit).equals(known) ? current : this;
    }
  }

  /**
   * Record of an upstream with its home VM.
   *
   * @param upstream the upstream, its load rounded to a coarse level
   * @param homeVm VM to which the upstream last announced itself
   * @param homeIncarnation incarnation of that VM
   * @param left whether the incarnation announced that it is leaving; never reset
   */
  record OfUpstream(Upstream upstream, String homeVm, long homeIncarnation, boolean left)
      implements SoftRecord {

    /**
     * Returns the key of an upstream record.
     *
     * @param id identity of the upstream
     * @return the key
     */
    public static String keyOf(String id) {
      return "u/" + id;
    }

    @Override
    public String key() {
      return keyOf(upstream.id());
    }

    @Override
    public SoftRecord mergedInto(SoftRecord current) {
      OfUpstream other = (OfUpstream) current;
      if (upstream.incarnation() != other.upstream.incarnation()) {
        return upstream.incarnation() > other.upstream.incarnation() ? this : other;
      }
      OfUpstream newest = isNewerThan(other) ? this : other;
      if (!left && !other.left) {
        return newest;
      }
      OfUpstream merged = newest.asLeft();
      return merged.equals(other) ? other : merged;
    }

    private OfUpstream asLeft() {
      UpstreamState state = upstream.state();
      if (left && (state == UpstreamState.LEAVING || state == UpstreamState.LOST)) {
        return this;
      }
      UpstreamState leavingOrLost = state == UpstreamState.LOST ? state : UpstreamState.LEAVING;
      return new OfUpstream(
          UpstreamStates.with(upstream, leavingOrLost, upstream.load()),
          homeVm,
          homeIncarnation,
          true);
    }

    /** At equal sequences, a loss is newer: it is detected after the last announcement. */
    private boolean isNewerThan(OfUpstream other) {
      if (upstream.sequence() != other.upstream.sequence()) {
        return upstream.sequence() > other.upstream.sequence();
      }
      boolean lost = upstream.state() == UpstreamState.LOST;
      boolean otherLost = other.upstream.state() == UpstreamState.LOST;
      if (lost != otherLost) {
        return lost;
      }
      // One announcement reached two homes; any fixed order makes all VMs agree.
      int byHome = homeVm.compareTo(other.homeVm);
      return byHome != 0 ? byHome > 0 : homeIncarnation > other.homeIncarnation;
    }

    @Override
    public boolean differsInLoadOnly(SoftRecord other) {
      return other instanceof OfUpstream
          && withLoadOf(((OfUpstream) other).upstream()).equals(other);
    }

    /**
     * Returns a checksum of the fields that a load message omits and the merge depends on.
     *
     * @return the checksum, equal on all VMs for equal records
     */
    public int bodyChecksum() {
      return Objects.hash(
          upstream.incarnation(), upstream.state().ordinal(), homeVm, homeIncarnation, left);
    }

    private OfUpstream withLoadOf(Upstream newer) {
      return withLoad(newer.sequence(), newer.load());
    }

    /**
     * Returns the record with another sequence and load.
     *
     * @param sequence sequence of the announcement
     * @param load load, rounded to a coarse level
     * @return the record
     */
    public OfUpstream withLoad(long sequence, int load) {
      return new OfUpstream(
          UpstreamStates.with(
              UpstreamStates.withSequence(upstream, sequence), upstream.state(), load),
          homeVm,
          homeIncarnation,
          left);
    }
  }
}
